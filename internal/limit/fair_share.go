package limit

import "slices"

// maxMinFairShare returns the max-min fair share of capacity: the largest level such
// that the sum of min(demand, level) over all demands does not exceed capacity. If the
// demands fit, it is capacity itself.
func maxMinFairShare(demands []Rate, capacity Rate) Rate {
	sorted := slices.Clone(demands)
	slices.Sort(sorted)
	remaining := capacity
	for i, demand := range sorted {
		share := remaining / Rate(len(sorted)-i)
		if demand >= share {
			return share
		}
		remaining -= demand
	}
	return capacity
}
