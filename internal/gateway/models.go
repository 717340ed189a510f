package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"

	"github.com/masticscale/masticscale/internal/apierr"
)

type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type listObject[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	HasMore bool   `json:"has_more"`
}

func (g *Gateway) listModels(w http.ResponseWriter, r *http.Request) {
	if _, err := g.authenticate(r); err != nil {
		g.fail(w, r, "online", "", err)
		return
	}
	list := listObject[modelObject]{Object: "list", Data: []modelObject{}}
	for model, service := range g.catalog.Current().Models {
		list.Data = append(list.Data, modelObject{ID: model, Object: "model", OwnedBy: service})
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	writeJSON(w, list)
}

func (g *Gateway) getModel(w http.ResponseWriter, r *http.Request) {
	if _, err := g.authenticate(r); err != nil {
		g.fail(w, r, "online", "", err)
		return
	}
	model := r.PathValue("model")
	service, ok := g.catalog.Current().Models[model]
	if !ok {
		g.fail(w, r, "online", "", apierr.Newf(apierr.NotFound, "/v1/models lists the models", "model %q does not exist", model))
		return
	}
	writeJSON(w, modelObject{ID: model, Object: "model", OwnedBy: service})
}

func writeJSON(w http.ResponseWriter, v any) {
	var body bytes.Buffer
	_ = json.NewEncoder(&body).Encode(v) // strings and numbers can be encoded
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	_, _ = w.Write(body.Bytes()) // a failed write means that the caller has disconnected
}
