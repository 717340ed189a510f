package mesh

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/objstore"
	peerv1 "github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1"
)

// relayTimeout bounds a call to the store on behalf of a peer.
const relayTimeout = 500 * time.Millisecond

// relayErrors maps the wire values for the outcome of a relayed call to errors.
var relayErrors = map[peerv1.StoreEnd]error{
	peerv1.StoreEnd_STORE_END_NOT_FOUND:   objstore.ErrNotFound,
	peerv1.StoreEnd_STORE_END_CONFLICT:    objstore.ErrConflict,
	peerv1.StoreEnd_STORE_END_TOO_LARGE:   objstore.ErrTooLarge,
	peerv1.StoreEnd_STORE_END_UNAVAILABLE: objstore.ErrUnavailable,
	peerv1.StoreEnd_STORE_END_NO_ANSWER:   objstore.ErrNoResponse,
}

// encodeOutcome returns the wire value for an error. An unknown error is sent as
// NO_ANSWER, which leaves open whether the store executed the call.
func encodeOutcome(err error) peerv1.StoreEnd {
	if err == nil {
		return peerv1.StoreEnd_STORE_END_DONE
	}
	for end, known := range relayErrors {
		if errors.Is(err, known) {
			return end
		}
	}
	return peerv1.StoreEnd_STORE_END_NO_ANSWER
}

// SetStore sets the transport for the calls of peers to the store, and a function
// that is called with whether the store served the call.
func (m *Mesh) SetStore(t objstore.Transport, onCall func(bool)) { m.store, m.onStoreCall = t, onCall }

// StoreCall implements peerv1connect.FleetServiceHandler.
func (s *server) StoreCall(ctx context.Context, r *connect.Request[peerv1.StoreCallRequest]) (*connect.Response[peerv1.StoreCallResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	call := objstore.Call{
		Operation: objstore.Operation(r.Msg.Operation), Kind: objstore.Kind(r.Msg.Kind), Name: r.Msg.Name,
		Version: r.Msg.Version, After: r.Msg.After, Value: r.Msg.Value,
	}
	page, err := call.Do(ctx, s.mesh.store)
	s.mesh.onStoreCall(objstore.Available(err))
	response := &peerv1.StoreCallResponse{End: encodeOutcome(err), Version: page.Version, More: page.More}
	if err == nil {
		for _, o := range page.Items {
			response.Objects = append(response.Objects, &peerv1.StoreObject{Name: o.Name, Version: o.Version, Value: o.Value, Status: o.Status})
		}
	}
	return connect.NewResponse(response), nil
}

// StoreCall makes a call to the store through the peer at the address. An error of
// the connection to the peer is an ErrNoResponse.
func (m *Mesh) StoreCall(ctx context.Context, address string, c objstore.Call) (objstore.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout+callTimeout)
	defer cancel()
	r, err := m.client(address).StoreCall(ctx, connect.NewRequest(&peerv1.StoreCallRequest{
		Operation: string(c.Operation), Kind: string(c.Kind), Name: c.Name, Version: c.Version, After: c.After, Value: c.Value,
	}))
	if err != nil {
		return objstore.Page{}, errors.Wrapf(objstore.ErrNoResponse, "call the store through peer: %v", err)
	}
	if r.Msg.End != peerv1.StoreEnd_STORE_END_DONE {
		known, ok := relayErrors[r.Msg.End]
		if !ok {
			known = objstore.ErrNoResponse
		}
		return objstore.Page{}, errors.Wrap(known, "call the store through peer")
	}
	page := objstore.Page{Version: r.Msg.Version, More: r.Msg.More}
	for _, o := range r.Msg.Objects {
		page.Items = append(page.Items, objstore.Object{Kind: c.Kind, Name: o.Name, Version: o.Version, Value: o.Value, Status: o.Status})
	}
	return page, nil
}
