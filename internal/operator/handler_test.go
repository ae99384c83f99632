package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/barleyshelf/barleyshelf/internal/plan"
)

// TestPlanThatIsNoLongerKept: the platform may expire plans.
func TestPlanThatIsNoLongerKept(t *testing.T) {
	store := newObjectStore()
	service := newTestService(direct{store}, plan.Usage{Complete: true})
	wanted := example(t)
	first, err := service.Create(context.Background(), "lin", wanted)
	require.NoError(t, err)
	_, err = service.Apply(context.Background(), Confirmation{Operator: "lin", PlanID: first.ID})
	require.NoError(t, err)
	wanted.Tenants[0].Weight = 9
	second, err := service.Create(context.Background(), "lin", clone(wanted))
	require.NoError(t, err)
	delete(store.objects, PlanPrefix+first.ID)
	delete(store.objects, PlanPrefix+second.ID)
	again, err := service.Apply(context.Background(), Confirmation{Operator: "wu", PlanID: first.ID})
	require.NoError(t, err)
	require.Equal(t, Applied{PlanID: first.ID, Version: store.roots[0].Version, Repeated: true}, again)
	_, err = service.Apply(context.Background(), Confirmation{Operator: "wu", PlanID: second.ID})
	var unknown *UnknownPlan
	require.ErrorAs(t, err, &unknown)
	require.Len(t, store.roots, 1)
}

// TestBadRequestsAreRefusedTypedAndChangeNothing sends what no client of ours
// would send.
func TestBadRequestsAreRefusedTypedAndChangeNothing(t *testing.T) {
	store := newObjectStore()
	sum := sha256.Sum256([]byte("secret"))
	handler, err := NewHandler(HandlerOptions{
		Service:      newTestService(direct{store}, plan.Usage{Complete: true}),
		TokensSHA256: map[string]string{"lin": strings.ToUpper(hex.EncodeToString(sum[:]))},
		MaxBodyBytes: 4096,
	})
	require.NoError(t, err)
	cases := []struct {
		method, path, token, body string
		status                    int
		kind                      string
	}{
		{"GET", "/v1/nodes", "", "", 401, "unauthenticated"},
		{"GET", "/v1/nodes", "wrong", "", 401, "unauthenticated"},
		{"GET", "/v1/nodes", "secret", "", 200, ""},
		{"GET", "/v1/nothing", "secret", "", 404, "unknown_object"},
		{"POST", "/v1/plans", "secret", `{"declarations": {`, 400, "malformed_request"},
		{"POST", "/v1/plans", "secret", `{}`, 400, "malformed_request"},
		{"POST", "/v1/plans", "secret", `{"declarations": {}, "force": true}`, 400, "malformed_request"},
		{"POST", "/v1/plans", "secret", `{"declarations": {"zoos": []}}`, 400, "malformed_request"},
		{"POST", "/v1/plans", "secret", `{"declarations": {"zones": [{"name": "Nantou"}]}}`, 422, "invalid_declarations"},
		{"POST", "/v1/plans", "secret", `{"declarations": "` + strings.Repeat("x", 5000) + `"}`, 413, "request_too_large"},
		{"POST", "/v1/plans/plan-1-00/apply", "secret", `{}`, 404, "unknown_plan"},
		{"GET", "/v1/audit?limit=0", "secret", "", 400, "malformed_request"},
	}
	for _, each := range cases {
		request := httptest.NewRequest(each.method, each.path, bytes.NewBufferString(each.body))
		request.Header.Set("Content-Type", "application/json")
		if each.token != "" {
			request.Header.Set("Authorization", "Bearer "+each.token)
		}
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, request)
		require.Equal(t, each.status, response.Code, "%s %s: %s", each.method, each.path, response.Body)
		if each.status == http.StatusOK {
			continue
		}
		var problem struct {
			Type, Outcome string
			Problems      []struct{ Field, Reason string }
		}
		require.NoError(t, json.Unmarshal(response.Body.Bytes(), &problem))
		require.Equal(t, ProblemTypeBase+each.kind, problem.Type)
		require.Equal(t, "not_run", problem.Outcome)
		require.Equal(t, each.status == 422, len(problem.Problems) > 0)
	}
	require.Empty(t, store.objects)
}
