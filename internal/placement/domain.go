package placement

import (
	"slices"
	"strings"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

// domainSeparator joins the zones of a domain into its name.
const domainSeparator = "+"

// ExtendDomains returns the placement domains of the declarations: previous, as it
// was, followed by a domain for each set of history zones that has none yet.
// Program ids carry shard numbers, so a domain keeps its range for ever, also
// when no program names its zones any more or ShardsPerDomain changes.
func ExtendDomains(d structs.Declarations, previous []structs.Domain) []structs.Domain {
	domains := slices.Clone(previous)
	next := structs.ShardID(0)
	known := map[string]bool{}
	for _, domain := range previous {
		known[domainName(domain.Zones)] = true
		next = max(next, domain.FirstShard+structs.ShardID(domain.ShardCount))
	}
	for _, zones := range zoneSets(d.Programs) {
		if known[domainName(zones)] {
			continue
		}
		count := max(d.Deployment.ShardsPerDomain, 1)
		domain := structs.Domain{Name: domainName(zones), Zones: zones, FirstShard: next, ShardCount: count}
		domains = append(domains, domain)
		next += structs.ShardID(count)
	}
	return domains
}

// zoneSets returns the distinct sets of history zones, sorted by name.
func zoneSets(programs []structs.AgentProgram) [][]structs.ZoneName {
	sets := map[string][]structs.ZoneName{}
	for _, declared := range programs {
		zones := sortedZones(declared.HistoryZones)
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

// DomainOfShard returns the domain that the shard belongs to.
func DomainOfShard(domains []structs.Domain, shard structs.ShardID) (structs.Domain, bool) {
	for _, domain := range domains {
		if shard >= domain.FirstShard && shard-domain.FirstShard < structs.ShardID(domain.ShardCount) {
			return domain, true
		}
	}
	return structs.Domain{}, false
}

// DomainOfZones returns the domain whose zones are exactly those permitted. There
// is one from the moment that a declaration names the set, and it never
// changes, so a repeated opening finds the same program whatever was declared
// in between. The error is a *failure.NoPermittedPlace.
func DomainOfZones(domains []structs.Domain, permitted []structs.ZoneName) (structs.Domain, error) {
	name := domainName(permitted)
	for _, domain := range domains {
		if len(permitted) > 0 && domainName(domain.Zones) == name {
			return domain, nil
		}
	}
	return structs.Domain{}, &failure.NoPermittedPlace{What: string(History), Zones: joinZones(permitted)}
}

// Restricted reports whether data of the domain may rest only where the policy
// permits history.
func CheckDomain(policy Policy, domain structs.Domain) error {
	for _, zone := range domain.Zones {
		if err := Check(policy, History, zone); err != nil {
			return err
		}
	}
	return nil
}
