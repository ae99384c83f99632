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
	// Cycle is the time in which the arrival rate rises from half its mean to one
	// and a half times it, before it falls back: the work before a cut-off. Zero
	// keeps the rate constant.
	Cycle time.Duration
	kinds []programKind
}

// peak is the highest rate of a cycle, relative to the mean.
const peak = 1.5

// rate returns the arrival rate at a time, relative to the mean.
func (d Deployment) rate(at time.Duration) float64 {
	if d.Cycle == 0 {
		return 1
	}
	progress := float64(at%d.Cycle) / float64(d.Cycle)
	return (2 - peak) + 2*(peak-1)*progress
}

// programsPerOpening is the mean number of programs that open together.
func (d Deployment) programsPerOpening() float64 {
	programs, openings := 0.0, 0.0
	for _, kind := range d.kinds {
		programs += kind.weight
		openings += kind.weight / float64(kind.together)
	}
	return programs / openings
}

// programKind is one entry of a deployment's mix.
type programKind struct {
	// weight is the share of programs, relative to the other kinds.
	weight float64
	// together is how many open at the same moment.
	together int
	build    func(*rand.Rand) *Program
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

// pick draws the kind of an opening.
func (d Deployment) pick(random *rand.Rand) programKind {
	total := 0.0
	for _, kind := range d.kinds {
		total += kind.weight / float64(kind.together)
	}
	left := random.Float64() * total
	for _, kind := range d.kinds {
		left -= kind.weight / float64(kind.together)
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
