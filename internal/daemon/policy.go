package daemon

import (
	"sync/atomic"

	"github.com/barleyshelf/barleyshelf/internal/schedule"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// policyChoice holds the scheduling policy in use.
type policyChoice struct {
	current atomic.Pointer[schedule.Policy]
}

func (d *Daemon) policy() schedule.Policy { return *d.policies.current.Load() }

// choosePolicy follows the settings, else the declaration, else the default.
func (d *Daemon) choosePolicy(configuration *structs.Configuration) {
	name := d.settings.Policy
	if name == "" && configuration != nil {
		name = configuration.Declarations.Deployment.Policy
	}
	if name == "" {
		name = schedule.DefaultPolicy
	}
	chosen, err := schedule.New(name)
	if err != nil {
		eventPolicyUnknown.Log("policy", name)
		if chosen, err = schedule.New(schedule.DefaultPolicy); err != nil {
			return
		}
	}
	if held := d.policies.current.Load(); held != nil && (*held).Name() == chosen.Name() {
		return
	}
	d.policies.current.Store(&chosen)
}
