package declaration

import (
	"encoding/hex"
	"fmt"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"github.com/barleyshelf/barleyshelf/internal/strictyaml"
	"github.com/barleyshelf/barleyshelf/internal/structs"
)

const (
	allowedName     = "lower-case letters, digits and inner hyphens, at most 63"
	allowedURL      = "a base URL such as http://10.1.0.20:9001"
	sha256HexDigits = 64
	// maxShardsPerDomain keeps shard numbers of all domains within 32 bits.
	maxShardsPerDomain = 65536
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	replicaCounts = []int{1, 3, 5}
	roles         = []structs.EngineRole{structs.RoleMixed, structs.RolePrefill, structs.RoleDecode}
)

// checker applies the checks to one set of declarations.
type checker struct {
	declarations structs.Declarations
	catalogue    *catalogue
	problems     []strictyaml.Problem
	zones        map[structs.ZoneName]structs.Zone
	tenants      map[structs.TenantID]bool
	models       map[structs.ModelName]structs.Model
	tools        map[structs.ToolName]structs.Tool
}

// check returns all problems. catalogue gives files and lines; it may be nil.
func check(declarations structs.Declarations, catalogue *catalogue) []strictyaml.Problem {
	run := &checker{
		declarations: declarations,
		catalogue:    catalogue,
		zones:        map[structs.ZoneName]structs.Zone{},
		tenants:      map[structs.TenantID]bool{},
		models:       map[structs.ModelName]structs.Model{},
		tools:        map[structs.ToolName]structs.Tool{},
	}
	run.index()
	run.deployment()
	run.engines()
	run.tenantTokens()
	for _, model := range declarations.Models {
		run.model(model)
	}
	for _, tool := range declarations.Tools {
		run.tool(tool)
	}
	for _, program := range declarations.Programs {
		run.program(program)
	}
	return run.problems
}

// index builds the tables of names; a name that stands twice is a problem
// (Load has found those of files already, with their lines).
func (c *checker) index() {
	for _, zone := range c.declarations.Zones {
		_, twice := c.zones[zone.Name]
		c.object(KindZone, string(zone.Name)).unique(twice)
		c.zones[zone.Name] = zone
	}
	for _, tenant := range c.declarations.Tenants {
		c.object(KindTenant, string(tenant.Name)).unique(c.tenants[tenant.Name])
		c.tenants[tenant.Name] = true
	}
	for _, model := range c.declarations.Models {
		_, twice := c.models[model.Name]
		c.object(KindModel, string(model.Name)).unique(twice)
		c.models[model.Name] = model
	}
	for _, tool := range c.declarations.Tools {
		_, twice := c.tools[tool.Name]
		c.object(KindTool, string(tool.Name)).unique(twice)
		c.tools[tool.Name] = tool
	}
	programs := map[structs.ProgramName]bool{}
	for _, program := range c.declarations.Programs {
		c.object(KindAgentProgram, string(program.Name)).unique(programs[program.Name])
		programs[program.Name] = true
	}
}

func (c *checker) deployment() {
	at := c.object(KindDeployment, c.declarations.Deployment.Name)
	if c.catalogue != nil && len(c.catalogue.deployments) != 1 {
		c.deploymentCount()
		return
	}
	deployment := c.declarations.Deployment
	if deployment.ShardsPerDomain < 1 || deployment.ShardsPerDomain > maxShardsPerDomain {
		at.report("spec.shardsPerDomain", "out of range", fmt.Sprintf("1 to %d", maxShardsPerDomain))
	}
	if !slices.Contains(replicaCounts, deployment.Replicas) {
		at.report("spec.replicas", fmt.Sprintf("can't be %d", deployment.Replicas), "1, 3 or 5")
	}
	at.atLeast("spec.weightStoreBytesPerSecond", float64(deployment.WeightStoreBytesPerSecond), 0)
	if len(c.declarations.Zones) == 0 {
		at.report("", "no zone is declared", "at least one document of kind Zone")
	}
	at.policy(deployment.Policy)
}

func (c *checker) deploymentCount() {
	const allowed = "exactly one document of kind Deployment"
	if len(c.catalogue.deployments) == 0 {
		c.problems = append(c.problems, strictyaml.Problem{Field: string(KindDeployment), Reason: "is missing", Allowed: allowed})
		return
	}
	second := c.catalogue.deployments[1].document
	c.problems = append(c.problems, second.Problem("kind", "a second Deployment", allowed))
}

func (c *checker) engines() {
	holder := map[structs.EngineID]structs.ZoneName{}
	for _, zone := range c.declarations.Zones {
		at := c.object(KindZone, string(zone.Name))
		if !namePattern.MatchString(zone.Region) {
			at.report("spec.region", fmt.Sprintf("malformed name %q", zone.Region), allowedName)
		}
		for i, engine := range zone.Engines {
			field := fmt.Sprintf("spec.engines[%d]", i)
			if !namePattern.MatchString(string(engine.ID)) {
				at.report(field+".id", fmt.Sprintf("malformed name %q", engine.ID), allowedName)
			}
			if other, taken := holder[engine.ID]; taken {
				at.report(field+".id", fmt.Sprintf("engine %q stands in zone %s already", engine.ID, other), "an id of its own in the deployment")
			}
			holder[engine.ID] = zone.Name
			at.url(field+".address", engine.Address)
		}
	}
}

func (c *checker) tenantTokens() {
	holder := map[string]structs.TenantID{}
	for _, tenant := range c.declarations.Tenants {
		at := c.object(KindTenant, string(tenant.Name))
		if len(tenant.TokenSHA256) == 0 {
			at.report("spec.tokenSHA256", "is empty", "the SHA-256 of at least one bearer token")
		}
		for i, hash := range tenant.TokenSHA256 {
			field := fmt.Sprintf("spec.tokenSHA256[%d]", i)
			if decoded, err := hex.DecodeString(hash); err != nil || len(decoded)*2 != sha256HexDigits {
				at.report(field, "malformed hash", "64 hex digits")
			}
			key := strings.ToLower(hash)
			if other, taken := holder[key]; taken {
				at.report(field, fmt.Sprintf("tenant %s has the same token", other), "a token for one tenant")
			}
			holder[key] = tenant.Name
		}
		at.atLeast("spec.requestsPerSecond", tenant.RequestsPerSecond, 0)
		at.atLeast("spec.weight", tenant.Weight, 0)
	}
}

func (c *checker) model(model structs.Model) {
	at := c.object(KindModel, string(model.Name))
	if model.Version == "" {
		at.report("spec.version", "is missing", "the version at the weight store")
	}
	at.atLeast("spec.weightsBytes", float64(model.WeightsBytes), 1)
	at.atLeast("spec.contextTokens", float64(model.ContextTokens), 2)
	at.atLeast("spec.pricePerMillionTokens", float64(model.PricePerMillionTokens), 0)
	if model.Role != "" && !slices.Contains(roles, model.Role) {
		at.report("spec.role", fmt.Sprintf("unknown role %q", model.Role), "mixed, prefill, decode")
	}
	noRepeats(at, "spec.adapters", model.Adapters)
	total := 0
	for _, zone := range sortedZones(model.ReplicasPerZone) {
		total += c.modelReplicas(at, zone, model.ReplicasPerZone[zone])
	}
	if total == 0 {
		at.report("spec.replicasPerZone", "no zone holds the model", "at least one replica in a zone")
	}
}

func (c *checker) modelReplicas(at object, zone structs.ZoneName, replicas int) int {
	field := "spec.replicasPerZone." + string(zone)
	declared, known := c.zones[zone]
	switch {
	case !known:
		at.report(field, fmt.Sprintf("unknown zone %q", zone), c.zoneNames())
	case replicas < 0 || replicas > len(declared.Engines):
		at.report(field, fmt.Sprintf("%d replicas in a zone of %d engines", replicas, len(declared.Engines)),
			fmt.Sprintf("0 to %d", len(declared.Engines)))
	}
	return max(replicas, 0)
}

func (c *checker) tool(tool structs.Tool) {
	at := c.object(KindTool, string(tool.Name))
	at.url("spec.address", tool.Address)
	if _, known := c.zones[tool.Zone]; !known {
		at.report("spec.zone", fmt.Sprintf("unknown zone %q", tool.Zone), c.zoneNames())
	}
	at.atLeast("spec.retries", float64(tool.Retries), 0)
	if !tool.Repeatable && tool.Retries > 0 {
		at.report("spec.retries", "a tool that is not repeatable can't be retried", "0, or repeatable: true")
	}
	at.atLeast("spec.deadlineMilliseconds", float64(tool.DeadlineMilliseconds), 1)
	at.atLeast("spec.priceMicros", float64(tool.PriceMicros), 0)
}

// object reports problems of one declared object.
type object struct {
	checker *checker
	kind    Kind
	name    string
}

func (c *checker) object(kind Kind, name string) object { return object{c, kind, name} }

func (o object) report(field, reason, allowed string) {
	if o.checker.catalogue != nil {
		if document := o.checker.catalogue.documentOf(o.kind, o.name); document != nil {
			o.checker.problems = append(o.checker.problems, document.Problem(field, reason, allowed))
			return
		}
	}
	full := strings.TrimSuffix(fmt.Sprintf("%s/%s: %s", o.kind, o.name, field), ": ")
	o.checker.problems = append(o.checker.problems, strictyaml.Problem{Field: full, Reason: reason, Allowed: allowed})
}

func (o object) unique(twice bool) {
	if twice {
		o.report("metadata.name", "name is taken", "a name of its own within the kind")
	}
	if o.checker.catalogue == nil && !namePattern.MatchString(o.name) {
		o.report("metadata.name", fmt.Sprintf("malformed name %q", o.name), allowedName)
	}
}

func (o object) url(field, value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		o.report(field, fmt.Sprintf("malformed URL %q", value), allowedURL)
	}
}

func (o object) atLeast(field string, value, least float64) {
	if value < least {
		o.report(field, fmt.Sprintf("can't be %g", value), fmt.Sprintf("%g or more", least))
	}
}

func noRepeats[T ~string](at object, field string, names []T) {
	for i, name := range names {
		if slices.Contains(names[:i], name) {
			at.report(fmt.Sprintf("%s[%d]", field, i), fmt.Sprintf("%q stands twice", name), "each once")
		}
	}
}

func sortedZones(replicas map[structs.ZoneName]int) []structs.ZoneName {
	zones := make([]structs.ZoneName, 0, len(replicas))
	for zone := range replicas {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return zones
}

func (c *checker) zoneNames() string {
	names := make([]string, 0, len(c.declarations.Zones))
	for _, zone := range c.declarations.Zones {
		names = append(names, string(zone.Name))
	}
	return "a declared zone: " + strings.Join(names, ", ")
}
