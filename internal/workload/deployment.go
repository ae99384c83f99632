package workload

import (
	"math/rand/v2"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// Deployment is one user's system: its sizes, as the users gave them, and the
// mix of programs that it runs.
type Deployment struct {
	Name  string
	Zones []structs.ZoneName
	// Engines holds the zone of each model engine.
	Engines []structs.ZoneName
	// Loaded is the model that every engine holds, with its adapters.
	Loaded []structs.LoadedModel
	// ZoneDelay is the one-way network delay between zones.
	ZoneDelay time.Duration
	// ClientDelay is the one-way network delay to clients.
	ClientDelay time.Duration
	kinds       []programKind
}

// programKind is one entry of a deployment's mix.
type programKind struct {
	// weight is the share of arrivals, relative to the other kinds.
	weight float64
	build  func(*rand.Rand) *Program
}

// Deployments returns the names of the deployments with a workload.
func Deployments() []string {
	return []string{"voltkai", "hofbauer"}
}

// DeploymentByName returns a deployment. The error is an *UnknownDeployment.
func DeploymentByName(name string) (Deployment, error) {
	switch name {
	case "voltkai":
		return voltkai(), nil
	case "hofbauer":
		return hofbauer(), nil
	}
	return Deployment{}, &UnknownDeployment{Deployment: name}
}

func (d Deployment) pick(random *rand.Rand) programKind {
	total := 0.0
	for _, kind := range d.kinds {
		total += kind.weight
	}
	left := random.Float64() * total
	for _, kind := range d.kinds {
		left -= kind.weight
		if left < 0 {
			return kind
		}
	}
	return d.kinds[len(d.kinds)-1]
}

// zones makes a list of zones from their names.
func zones(names ...string) []structs.ZoneName {
	list := make([]structs.ZoneName, len(names))
	for index, name := range names {
		list[index] = structs.ZoneName(name)
	}
	return list
}

// spread gives the zone of each engine from the number in each zone.
func spread(names []structs.ZoneName, counts ...int) []structs.ZoneName {
	var engines []structs.ZoneName
	for index, name := range names {
		for range counts[index] {
			engines = append(engines, name)
		}
	}
	return engines
}
