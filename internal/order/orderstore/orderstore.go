// Package orderstore implements orderer.Repository on the object store.
package orderstore

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/objstore"
	"github.com/masticscale/masticscale/internal/order"
	"github.com/masticscale/masticscale/internal/order/orderer"
)

// Store implements orderer.Repository.
type Store struct{ objects objstore.Store }

// New returns an order repository that uses the object store.
func New(objects objstore.Store) *Store { return &Store{objects: objects} }

// Name returns the object name for the orders of an upstream.
func Name(service, upstream string) string { return service + "." + upstream }

// Orders implements orderer.Repository.
func (s *Store) Orders(ctx context.Context) ([]orderer.Stored, error) {
	objects, _, err := s.objects.List(ctx, objstore.KindOrder, "")
	if err != nil {
		return nil, err
	}
	orders := make([]orderer.Stored, len(objects))
	for i, o := range objects {
		orders[i].Version = orderer.Version(o.Version)
		if err := o.Decode(&orders[i].Order); err != nil {
			return nil, err
		}
	}
	return orders, nil
}

// Put implements orderer.Repository.
func (s *Store) Put(ctx context.Context, st orderer.Stored) (orderer.Version, error) {
	name := Name(st.Order.Service, st.Order.Upstream)
	var o objstore.Object
	var err error
	if st.Version == 0 {
		o, err = s.objects.Create(ctx, objstore.KindOrder, name, st.Order)
	} else {
		o, err = s.objects.Update(ctx, objstore.KindOrder, name, int64(st.Version), st.Order)
	}
	return orderer.Version(o.Version), err
}

// Get returns the order of one upstream. An order that is not stored yet has
// version zero.
func (s *Store) Get(ctx context.Context, service, upstream string) (orderer.Stored, error) {
	o, err := s.objects.Get(ctx, objstore.KindOrder, Name(service, upstream))
	if errors.Is(err, objstore.ErrNotFound) {
		return orderer.Stored{Order: order.Order{Service: service, Upstream: upstream}}, nil
	}
	if err != nil {
		return orderer.Stored{}, err
	}
	st := orderer.Stored{Version: orderer.Version(o.Version)}
	return st, o.Decode(&st.Order)
}
