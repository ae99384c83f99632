package plan

import "github.com/barleyshelf/barleyshelf/internal/structs"

// UnknownCount is the number of programs where no count could be had. It is treated
// as harm: only a count of zero proves that nobody is cut off.
const UnknownCount = -1

// ProgramCount is a number of programs under way that share their declaration,
// their tenant and their placement domain.
type ProgramCount struct {
	Program structs.ProgramName `json:"program"`
	Tenant  structs.TenantID    `json:"tenant"`
	Domain  string              `json:"domain"`
	// Running counts programs that were opened and have not ended.
	Running int `json:"underWay"`
}

// Usage counts the programs under way over the whole deployment. It is a sum of
// what the leaders of shards reported, and late by as much.
type Usage struct {
	// Complete is false where some shard's count is missing.
	Complete bool           `json:"known"`
	Counts   []ProgramCount `json:"counts"`
}

// count sums what matches; without a full count, zero is not proved.
func (u Usage) count(matches func(ProgramCount) bool) int {
	total := 0
	for _, one := range u.Counts {
		if matches(one) {
			total += one.Running
		}
	}
	if total == 0 && !u.Complete {
		return UnknownCount
	}
	return total
}

func (u Usage) ofProgram(name structs.ProgramName) int {
	return u.count(func(c ProgramCount) bool { return c.Program == name })
}

func (u Usage) ofTenant(name structs.TenantID) int {
	return u.count(func(c ProgramCount) bool { return c.Tenant == name })
}

func (u Usage) ofDomain(name string) int {
	return u.count(func(c ProgramCount) bool { return c.Domain == name })
}

func (u Usage) ofPair(program structs.ProgramName, tenant structs.TenantID) int {
	return u.count(func(c ProgramCount) bool { return c.Program == program && c.Tenant == tenant })
}
