package gateway

import (
	"context"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/quorum"
	"github.com/barleyshelf/barleyshelf/internal/quota"
)

// granter grants requests of tenants. quorum.Client asks the members of a tenant's group.
type granter interface {
	// Grant grants up to so many requests of a tenant, of which the first may begin a
	// program.
	Grant(ctx context.Context, tenant string, limit quota.Limit, wanted int, opening bool) (quorum.Granted, error)
}

// fixedShares grants this gateway an equal part of each limit, whatever its tenants ask
// for. It needs no replica; what one gateway does not use is lost to the others, and the
// limit is only kept as long as the number of gateways is known.
type fixedShares struct {
	granter  *quota.Granter
	gateways func() int
	since    time.Time
}

func newFixedShares(tolerance quota.Tolerance, gateways func() int) *fixedShares {
	return &fixedShares{granter: quota.NewGranter(tolerance), gateways: gateways, since: time.Now()}
}

// Grant implements granter.
func (f *fixedShares) Grant(_ context.Context, tenant string, limit quota.Limit, wanted int, opening bool) (quorum.Granted, error) {
	grant := f.granter.Grant(time.Now(), quota.Ask{
		Tenant: tenant, Limit: limit, Members: f.gateways(), Since: f.since, Wanted: wanted, Opening: opening,
	})
	return quorum.Granted{Grant: grant, Refused: grant.Requests == 0, Answered: 1}, nil
}
