package fleet

import (
	"context"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// execute does the planned actions. It stops when the fence is lost.
func (r *reconciler) execute(ctx context.Context, actions []action) {
	for _, next := range actions {
		switch next.kind {
		case actionDrain:
			eventDrain.Log("engine", next.engine)
			r.draining[next.engine] = r.fleet.now()
			r.publish()
		case actionReturn:
			r.endDraining(next.engine)
		default:
			if !r.send(ctx, next) {
				return
			}
		}
	}
}

func (r *reconciler) endDraining(id structs.EngineID) {
	now := r.fleet.now()
	if now.Sub(r.draining[id]) > r.fleet.options.DrainTimeout {
		eventDrainedOut.Log("engine", id)
		r.heldBack[id] = now.Add(drainBackoff)
	}
	delete(r.draining, id)
	r.publish()
}

// send sends an order; it reports false when the fence is lost.
func (r *reconciler) send(ctx context.Context, next action) bool {
	requestContext, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	err := r.fleet.options.Engines.Order(requestContext, r.address(next.engine), next.order)
	r.orderedAt[next.engine] = r.fleet.now()
	switch {
	case failure.IsType(err, "fence_rejected"):
		r.lose()
		return false
	case failure.IsType(err, "order_unknown"):
		// The order may yet take effect. Under a later token it cannot once the
		// engine has seen that one.
		eventOrderFailed.Log("engine", next.engine, "order", next.order.Kind, "model", next.order.Model, "cause", err)
		r.token = 0
		return false
	case err != nil:
		if !r.failing[next.engine] {
			eventOrderFailed.Log("engine", next.engine, "order", next.order.Kind, "model", next.order.Model, "cause", err)
		}
		r.failing[next.engine] = true
	default:
		delete(r.failing, next.engine)
		r.logOrder(next)
	}
	return true
}

func (r *reconciler) logOrder(next action) {
	if next.kind == actionRaise {
		return
	}
	order := next.order
	eventOrder.Log("engine", next.engine, "order", order.Kind, "model", order.Model, "version", order.Version,
		"adapter", order.Adapter, "role", order.Role, "token", order.Fence)
}

func (r *reconciler) address(id structs.EngineID) string {
	for _, one := range r.followers {
		if one.endpoint.ID == id {
			return one.endpoint.Address
		}
	}
	return ""
}

// publish tells the daemons which engines are drained under the token.
func (r *reconciler) publish() {
	r.sequence++
	r.publishedAt = r.fleet.now()
	engines := make([]structs.EngineID, 0, len(r.draining))
	for id := range r.draining {
		engines = append(engines, id)
	}
	r.fleet.publishDraining(r.group, r.token<<sequenceBits|r.sequence, engines)
}

// repeatDraining keeps the daemons' knowledge of a draining from running out.
func (r *reconciler) repeatDraining() {
	if len(r.draining) > 0 && r.fleet.now().Sub(r.publishedAt) >= drainingRepeat {
		r.publish()
	}
}
