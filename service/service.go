// Package service implements the HTTP API for plain services: a request for
// /services/NAME/PATH is forwarded as PATH to a backend server that runs the
// service NAME. Every request that is not read-only is an order and needs an
// Idempotency-Key header.
package service

import (
	"net/http"

	"endivedeck.example/entry"
	"endivedeck.example/gate"
)

const (
	classHeader  = "Endivedeck-Class"
	defaultClass = "orders"
)

func init() {
	entry.Frontends.Register("service", register)
}

type frontend struct{ executor *entry.Executor }

func register(mux *http.ServeMux, executor *entry.Executor) {
	f := &frontend{executor: executor}
	mux.HandleFunc("/services/{service}/{path...}", f.serve)
}

func (f *frontend) serve(w http.ResponseWriter, r *http.Request) {
	caller, err := f.executor.Authenticate(entry.BearerToken(r))
	if err != nil {
		entry.WriteError(w, err)
		return
	}
	gate.Join(r.Context(), caller.Accepted.Contract.Customer)
	body, err := gate.ReadBody(r)
	if err != nil {
		entry.WriteError(w, err)
		return
	}
	call := entry.Call{
		ID:             entry.NewRequestID(),
		Caller:         caller,
		Class:          requestClass(r),
		Service:        r.PathValue("service"),
		Method:         r.Method,
		Path:           servicePath(r),
		ContentType:    r.Header.Get("Content-Type"),
		Body:           body,
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
	}
	w.Header().Set(entry.RequestIDHeader, call.ID)
	response, err := f.executor.Call(r.Context(), call)
	if err != nil {
		entry.WriteError(w, err)
		return
	}
	if response.ContentType != "" {
		w.Header().Set("Content-Type", response.ContentType)
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

func requestClass(r *http.Request) string {
	if class := r.Header.Get(classHeader); class != "" {
		return class
	}
	return defaultClass
}

func servicePath(r *http.Request) string {
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}
