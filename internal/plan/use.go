package plan

import "github.com/barleyshelf/barleyshelf/internal/structs"

// Unknown is the number of programs where no count could be had. It is treated
// as harm: only a count of zero proves that nobody is cut off.
const Unknown = -1

// ProgramCount is a number of programs under way that share their declaration,
// their tenant and their placement domain.
type ProgramCount struct {
	Program structs.ProgramName `json:"program"`
	Tenant  structs.TenantID    `json:"tenant"`
	Domain  string              `json:"domain"`
	// UnderWay counts programs that were opened and have not ended.
	UnderWay int `json:"underWay"`
}

// Use counts the programs under way over the whole deployment. It is a sum of
// what the leaders of shards reported, and late by as much.
type Use struct {
	// Known is false where some shard's count is missing.
	Known  bool           `json:"known"`
	Counts []ProgramCount `json:"counts"`
}

// count sums what matches; without a full count, zero is not proved.
func (u Use) count(matches func(ProgramCount) bool) int {
	total := 0
	for _, one := range u.Counts {
		if matches(one) {
			total += one.UnderWay
		}
	}
	if total == 0 && !u.Known {
		return Unknown
	}
	return total
}

func (u Use) ofProgram(name structs.ProgramName) int {
	return u.count(func(c ProgramCount) bool { return c.Program == name })
}

func (u Use) ofTenant(name structs.TenantID) int {
	return u.count(func(c ProgramCount) bool { return c.Tenant == name })
}

func (u Use) ofDomain(name string) int {
	return u.count(func(c ProgramCount) bool { return c.Domain == name })
}

func (u Use) ofPair(program structs.ProgramName, tenant structs.TenantID) int {
	return u.count(func(c ProgramCount) bool { return c.Program == program && c.Tenant == tenant })
}
