package admin

import (
	"net/http"

	"github.com/urfave/negroni/v3"

	"github.com/masticscale/masticscale/internal/catalog"
	"github.com/masticscale/masticscale/internal/config"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/job"
	"github.com/masticscale/masticscale/internal/order"
	"github.com/masticscale/masticscale/internal/route"
	"github.com/masticscale/masticscale/internal/service"
	"github.com/masticscale/masticscale/internal/team"
)

// endpoint is one operation of the API. The fields in and out are zero values of
// the types of the request and response bodies; nil means no body.
type endpoint struct {
	method, path string
	summary      string
	query        []string
	in, out      any
	handler      func(*http.Request) (any, error)
}

// endpoints returns all operations of the API. The OpenAPI description is
// generated from them.
func (a *API) endpoints() []endpoint {
	all := []endpoint{
		{"GET", "/config", "Read the configuration in force", nil, nil, config.Revision{}, a.getConfig},
		{"POST", "/config", "Put a configuration in force", nil, ApplyConfig{}, config.Revision{}, a.applyConfig},
		{"GET", "/config/history", "List the accepted revisions that are kept", nil, nil, List[catalog.PointerEntry]{}, a.configHistory},
		{"GET", "/hosts", "List the hosts with their revisions", nil, nil, List[HostStatus]{}, a.listHosts},
		{"POST", "/hosts/{name}/retire", "Forget a host that is gone for good", nil, nil, Named[HostStatus]{}, a.retireHost},
		{"GET", "/upstreams", "List the upstreams as this host sees them", nil, nil, List[dispatch.Status]{}, a.listUpstreams},
		{"GET", "/keys", "List the keys", nil, nil, List[Key]{}, a.listKeys},
		{"POST", "/keys", "Create a key", nil, CreateKey{}, Key{}, a.createKey},
		{"POST", "/keys/{id}/withdraw", "Withdraw a key", nil, WithdrawKey{}, Key{}, a.withdrawKey},
		{"GET", "/jobs", "List the batch jobs of a team, or of all", []string{"team"}, nil, List[job.Job]{}, a.listJobs},
		{"GET", "/orders", "List the orders to upstreams", nil, nil, List[order.Order]{}, a.listOrders},
		{"POST", "/orders", "Ask for a state of an upstream", nil, CreateOrder{}, order.Order{}, a.createOrder},
		{"PUT", "/log-level", "Set the log level of this host", nil, LogLevel{}, LogLevel{}, a.setLogLevel},
	}
	all = append(all, teamResource.endpoints(a, Named[team.Spec]{}, List[Named[team.Spec]]{})...)
	all = append(all, routeResource.endpoints(a, Named[route.Spec]{}, List[Named[route.Spec]]{})...)
	return append(all, serviceResource.endpoints(a, Named[service.Spec]{}, List[Named[service.Spec]]{})...)
}

// basePath is the prefix of the path of every operation.
const basePath = "/admin/v1"

// Handler returns the HTTP handler of the API, including authentication.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, e := range a.endpoints() {
		mux.HandleFunc(e.method+" "+basePath+e.path, a.handle(e.handler))
	}
	chain := negroni.New(negroni.HandlerFunc(a.authorize))
	chain.UseHandler(mux)
	return chain
}
