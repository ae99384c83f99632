package simulation

import (
	"time"

	"github.com/barleyshelf/barleyshelf/internal/workload"
)

// demandSample is the number of programs of each kind that a mean is taken of.
const demandSample = 500

// Capacity returns the arrival rate, in programs a second, that a load of 1
// stands for: the rate at which the engines' time would be used up if no token
// were computed twice and every batch were as full as batch size and memory
// allow. It depends on the engines and the workload, not on any policy.
// The error is a *workload.UnknownDeployment.
func Capacity(deployment string, parameters Parameters) (float64, error) {
	found, err := workload.DeploymentByName(deployment)
	if err != nil {
		return 0, err
	}
	demand, err := workload.MeanDemand(deployment, demandSample)
	if err != nil {
		return 0, err
	}
	batch := min(float64(parameters.MaxBatch), float64(parameters.CacheTokens)/demand.ContextTokens)
	step := parameters.StepBase.Seconds() + batch*parameters.StepPerStream.Seconds() +
		batch*demand.ContextTokens/1_000*parameters.StepPerThousandContext.Seconds()
	engineSeconds := demand.NewTokens*parameters.PrefillPerToken.Seconds() + demand.AnswerTokens*step/batch
	return float64(len(found.Engines)) / engineSeconds, nil
}

// Rate returns the arrival rate of a load, in programs a second.
// The error is a *workload.UnknownDeployment.
func Rate(deployment string, parameters Parameters, load float64) (float64, error) {
	capacity, err := Capacity(deployment, parameters)
	return load * capacity, err
}

// Durations of the published runs: one gas-day cycle is measured, after a warm-up.
const (
	DefaultDuration = 12 * time.Minute
	DefaultWarmUp   = 2 * time.Minute
)
