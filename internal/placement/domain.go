package placement

import (
	"slices"
	"strings"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// domainSeparator separates the zones in a domain's name.
const domainSeparator = "+"

// ExtendDomains returns the placement domains of the declarations: the previous domains
// unchanged, followed by a new domain for each set of history zones that has none yet.
// Program IDs contain shard numbers, so a domain keeps its shard range permanently,
// even if no program declares its zones any more or ShardsPerDomain changes.
func ExtendDomains(d structs.Declarations, previous []structs.Domain) []structs.Domain {
	domains := slices.Clone(previous)
	nextShard := structs.ShardID(0)
	known := map[string]bool{}
	for _, domain := range previous {
		known[domainName(domain.Zones)] = true
		nextShard = max(nextShard, domain.FirstShard+structs.ShardID(domain.ShardCount))
	}
	for _, zones := range zoneSets(d.Programs) {
		if known[domainName(zones)] {
			continue
		}
		count := max(d.Deployment.ShardsPerDomain, 1)
		domain := structs.Domain{Name: domainName(zones), Zones: zones, FirstShard: nextShard, ShardCount: count}
		domains = append(domains, domain)
		nextShard += structs.ShardID(count)
	}
	return domains
}

// zoneSets returns the distinct sets of history zones of the programs, sorted by name.
func zoneSets(programs []structs.AgentProgram) [][]structs.ZoneName {
	sets := map[string][]structs.ZoneName{}
	for _, program := range programs {
		zones := sortedZones(program.HistoryZones)
		if len(zones) > 0 {
			sets[domainName(zones)] = zones
		}
	}
	names := make([]string, 0, len(sets))
	for name := range sets {
		names = append(names, name)
	}
	slices.Sort(names)
	ordered := make([][]structs.ZoneName, len(names))
	for i, name := range names {
		ordered[i] = sets[name]
	}
	return ordered
}

func domainName(zones []structs.ZoneName) string {
	return strings.ReplaceAll(joinZones(sortedZones(zones)), ",", domainSeparator)
}

// DomainOfShard returns the domain that contains the shard.
func DomainOfShard(domains []structs.Domain, shard structs.ShardID) (structs.Domain, bool) {
	for _, domain := range domains {
		if shard >= domain.FirstShard && shard-domain.FirstShard < structs.ShardID(domain.ShardCount) {
			return domain, true
		}
	}
	return structs.Domain{}, false
}

// DomainOfZones returns the domain whose zones are exactly the permitted ones. The
// domain exists as soon as a declaration contains the set, and never changes, so a
// retried program start finds the same program regardless of declarations in between.
// The error is a *failure.NoPermittedPlace.
func DomainOfZones(domains []structs.Domain, permitted []structs.ZoneName) (structs.Domain, error) {
	name := domainName(permitted)
	for _, domain := range domains {
		if len(permitted) > 0 && domainName(domain.Zones) == name {
			return domain, nil
		}
	}
	return structs.Domain{}, &failure.NoPermittedPlace{What: string(History), Zones: joinZones(permitted)}
}

// CheckDomain returns an error unless the policy permits history in every zone of the
// domain.
func CheckDomain(policy Policy, domain structs.Domain) error {
	for _, zone := range domain.Zones {
		if err := Check(policy, History, zone); err != nil {
			return err
		}
	}
	return nil
}
