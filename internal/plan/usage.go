package plan

import "github.com/barleyshelf/barleyshelf/internal/structs"

// UnknownCount is the number of programs if the counts are incomplete. It is treated as
// harm, because only a count of zero proves that no program is affected.
const UnknownCount = -1

// ProgramCount is the number of running programs with the same declaration, tenant and
// placement domain.
type ProgramCount struct {
	Program structs.ProgramName `json:"program"`
	Tenant  structs.TenantID    `json:"tenant"`
	Domain  string              `json:"domain"`
	// Running counts the programs that were started and have not ended.
	Running int `json:"underWay"`
}

// Usage counts the running programs of the whole deployment. It is the sum of the last
// reports of the shard leaders, and as old as these.
type Usage struct {
	// Complete is false if the count of a shard is missing.
	Complete bool           `json:"known"`
	Counts   []ProgramCount `json:"counts"`
}

// count returns the number of matching programs. If the counts are incomplete, a sum of
// zero is unknown.
func (u Usage) count(matches func(ProgramCount) bool) int {
	total := 0
	for _, entry := range u.Counts {
		if matches(entry) {
			total += entry.Running
		}
	}
	if total == 0 && !u.Complete {
		return UnknownCount
	}
	return total
}

func (u Usage) countByProgram(name structs.ProgramName) int {
	return u.count(func(c ProgramCount) bool { return c.Program == name })
}

func (u Usage) countByTenant(name structs.TenantID) int {
	return u.count(func(c ProgramCount) bool { return c.Tenant == name })
}

func (u Usage) countByDomain(name string) int {
	return u.count(func(c ProgramCount) bool { return c.Domain == name })
}

func (u Usage) countByProgramAndTenant(program structs.ProgramName, tenant structs.TenantID) int {
	return u.count(func(c ProgramCount) bool { return c.Program == program && c.Tenant == tenant })
}
