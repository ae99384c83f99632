package limit

import "slices"

// waterLevel returns the largest level such that the sum of min(demand, level)
// over the demands does not exceed capacity: the max-min fair share. It is
// capacity itself where the demands fit.
func waterLevel(demands []Rate, capacity Rate) Rate {
	sorted := slices.Clone(demands)
	slices.Sort(sorted)
	left := capacity
	for i, demand := range sorted {
		share := left / Rate(len(sorted)-i)
		if demand >= share {
			return share
		}
		left -= demand
	}
	return capacity
}
