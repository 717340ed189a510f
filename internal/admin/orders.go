package admin

import (
	"net/http"
	"sort"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/order"
	"github.com/masticscale/masticscale/internal/order/orderstore"
)

// CreateOrder is the request to set the desired state of an upstream.
type CreateOrder struct {
	Service  string        `json:"service"`
	Upstream string        `json:"upstream"`
	Desired  order.Desired `json:"desired"`
}

func (a *API) listOrders(r *http.Request) (any, error) {
	stored, err := orderstore.New(a.store).Orders(r.Context())
	if err != nil {
		return nil, err
	}
	list := List[order.Order]{Items: []order.Order{}}
	for _, s := range stored {
		list.Items = append(list.Items, s.Order)
	}
	sort.Slice(list.Items, func(i, j int) bool {
		x, y := list.Items[i], list.Items[j]
		return orderstore.Name(x.Service, x.Upstream) < orderstore.Name(y.Service, y.Upstream)
	})
	return list, nil
}

// createOrder stores the desired state of an upstream as an order, which a host
// executes later.
func (a *API) createOrder(r *http.Request) (any, error) {
	var req CreateOrder
	if err := decode(r, &req); err != nil {
		return nil, err
	}
	if err := req.Desired.Validate(); err != nil {
		return nil, err
	}
	if _, known := a.catalog.Current().Services[req.Service].Upstreams[req.Upstream]; !known {
		return nil, apierr.Newf(apierr.NotFound, "see 'masticscale upstream list'", "service %q has no upstream %q", req.Service, req.Upstream)
	}
	store := orderstore.New(a.store)
	stored, err := store.Get(r.Context(), req.Service, req.Upstream)
	if err != nil {
		return nil, err
	}
	stored.Order = stored.Order.Change(req.Desired)
	_, err = store.Put(r.Context(), stored)
	return stored.Order, err
}
