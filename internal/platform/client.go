// Package platform is the client of the platform's service: the object API
// with versions and watches, and the list of machines.
//
// No call is repeated inside. A write whose answer is missing gives a
// *failure.PlatformUnavailable: it may have taken effect, and only reading back
// tells.
package platform

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/barleyshelf/barleyshelf/internal/failure"
	"github.com/barleyshelf/barleyshelf/internal/gen/platformapi"
	"github.com/barleyshelf/barleyshelf/internal/structs"
	"github.com/barleyshelf/barleyshelf/internal/telemetry"
	"github.com/barleyshelf/barleyshelf/internal/transport"
)

// Object is an object of the platform at one version.
type Object struct {
	Key string `json:"key"`
	// Version is the platform's revision at which the object last changed.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	// Deleted objects come from watches alone and have no value.
	Deleted bool `json:"deleted,omitempty"`
}

// MachineState is what the platform says of a machine.
type MachineState string

// The states of a machine.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is a row of the machine list, which lags.
type Machine struct {
	// Node is the daemon on the machine, or empty.
	Node structs.NodeID
	// Engine is the engine on the machine, or empty.
	Engine structs.EngineID
	// Address is the engine's base URL or the daemon's peer address.
	Address string
	Zone    structs.ZoneName
	State   MachineState
}

// Client talks to one platform service. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
	// inflow bounds what is held of the platform's answers.
	inflow *transport.Inflow
	api    *platformapi.Client
	// unusable is why there is no api.
	unusable error
}

// NewClient returns a client of the service at address, a base URL. With an
// address that is none, every call fails with a *BadAddress.
func NewClient(address string, httpClient *http.Client) *Client {
	inflow := transport.NewInflow()
	api, err := platformapi.NewClient(address, platformapi.WithClient(inflow.NewClient(httpClient)))
	return &Client{address: strings.TrimSuffix(address, "/"), http: transport.NewCheckedClient(httpClient), inflow: inflow, api: api, unusable: err}
}

// RegisterMetrics registers the counters of refused answers.
func (c *Client) RegisterMetrics(registry *telemetry.Registry) {
	c.inflow.RegisterMetrics(registry, "platform")
}

// usable returns the error of an address that is no base URL.
func (c *Client) usable() error {
	if c.unusable == nil {
		return nil
	}
	return &BadAddress{Address: c.address, Cause: c.unusable}
}

// Get returns an object. Errors: *failure.ObjectNotFound,
// *failure.PlatformUnavailable.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	if err := c.usable(); err != nil {
		return Object{}, err
	}
	found, err := c.api.GetObject(ctx, platformapi.GetObjectParams{Key: key})
	if err != nil {
		return Object{}, translate("get", key, 0, err)
	}
	return fromAPI(*found), nil
}

// List returns the objects whose keys begin with prefix, by key. The error is
// a *failure.PlatformUnavailable.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	if err := c.usable(); err != nil {
		return nil, err
	}
	list, err := c.api.ListObjects(ctx, platformapi.ListObjectsParams{Prefix: prefix})
	if err != nil {
		return nil, translate("list", prefix, 0, err)
	}
	objects := make([]Object, 0, len(list.Objects))
	for _, found := range list.Objects {
		objects = append(objects, fromAPI(found))
	}
	return objects, nil
}

// Put stores an object in place of the expected version, 0 to create it, and
// returns its new version. Errors: *failure.VersionConflict (nothing stored),
// *failure.PlatformUnavailable (it may have been stored).
func (c *Client) Put(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	if err := c.usable(); err != nil {
		return 0, err
	}
	stored, err := c.api.PutObject(ctx,
		platformapi.PutObjectReq{Data: bytes.NewReader(value)},
		platformapi.PutObjectParams{Key: key, Expected: expected})
	if err != nil {
		return 0, translate("put", key, expected, err)
	}
	return stored.Version, nil
}

// Delete removes the expected version of an object. Errors as for Put.
func (c *Client) Delete(ctx context.Context, key string, expected uint64) error {
	if err := c.usable(); err != nil {
		return err
	}
	_, err := c.api.DeleteObject(ctx, platformapi.DeleteObjectParams{Key: key, Expected: expected})
	if err != nil {
		return translate("delete", key, expected, err)
	}
	return nil
}

// Machines returns the machine list. The error is a *failure.PlatformUnavailable.
func (c *Client) Machines(ctx context.Context) ([]Machine, error) {
	return c.machines(ctx, platformapi.ListMachinesParams{})
}

// LeavingMachines returns the machines of the list that are leaving, which are
// few. The error is a *failure.PlatformUnavailable.
func (c *Client) LeavingMachines(ctx context.Context) ([]Machine, error) {
	params := platformapi.ListMachinesParams{}
	params.State.SetTo(platformapi.ListMachinesStateLeaving)
	return c.machines(ctx, params)
}

func (c *Client) machines(ctx context.Context, params platformapi.ListMachinesParams) ([]Machine, error) {
	if err := c.usable(); err != nil {
		return nil, err
	}
	list, err := c.api.ListMachines(ctx, params)
	if err != nil {
		return nil, translate("machines", "", 0, err)
	}
	machines := make([]Machine, 0, len(list.Machines))
	for _, row := range list.Machines {
		machines = append(machines, Machine{
			Node:    structs.NodeID(row.Node.Or("")),
			Engine:  structs.EngineID(row.Engine.Or("")),
			Address: row.Address.Or(""),
			Zone:    structs.ZoneName(row.Zone),
			State:   MachineState(row.State),
		})
	}
	return machines, nil
}

func fromAPI(o platformapi.Object) Object {
	return Object{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted.Or(false)}
}

// translate turns an error of the generated client into a typed failure.
func translate(operation, key string, expected uint64, err error) error {
	var answer *platformapi.ProblemStatusCode
	if !errors.As(err, &answer) {
		return &failure.PlatformUnavailable{Operation: operation}
	}
	switch answer.StatusCode {
	case http.StatusNotFound:
		return &failure.ObjectNotFound{Key: key}
	case http.StatusConflict:
		return &failure.VersionConflict{Expected: expected, Found: answer.Response.Found.Or(0)}
	default:
		return &failure.PlatformUnavailable{Operation: operation}
	}
}
