package control

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"endivedeck.example/change"
	"endivedeck.example/contract"
	"endivedeck.example/fault"
	"endivedeck.example/gate"
	"endivedeck.example/internal/operators/access"
	"endivedeck.example/kernel"
	"endivedeck.example/message"
	"endivedeck.example/settings"
)

const defaultOperatorWait = 15 * time.Second

// operatorAPI serves the operator API for contracts and changes over HTTP.
type operatorAPI struct {
	control *Control
}

// OperatorAPIs is the registry of operator APIs by name.
var OperatorAPIs = kernel.NewRegistry[OperatorAPI]("operators' interface")

// OperatorAPI registers the handlers of an operator API on mux.
type OperatorAPI func(mux *http.ServeMux, api *API)

func init() {
	OperatorAPIs.Register("contracts", registerContractAPI)
}

func (c *Control) startOperatorAPI() error {
	register, err := OperatorAPIs.Lookup(c.settings.OperatorAPI)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	register(mux, &API{control: c})
	server, err := gate.NewWithin(c.host.Callers, c.settings.OperatorListen, mux, c.settings.Limits, nil)
	if err != nil {
		return err
	}
	c.operatorServer = server
	return nil
}

func registerContractAPI(mux *http.ServeMux, api *API) {
	o := &operatorAPI{control: api.control}
	mux.HandleFunc("GET /healthz", o.health)
	mux.HandleFunc("GET /v1/contracts", o.requireKey(o.list))
	mux.HandleFunc("GET /v1/contracts/{customer}", o.requireKey(o.get))
	mux.HandleFunc("PUT /v1/contracts/{customer}", o.requireKey(o.put))
	mux.HandleFunc("DELETE /v1/contracts/{customer}", o.requireKey(o.retire))
	mux.HandleFunc("GET /v1/changes", o.requireKey(o.changes))
	mux.HandleFunc("POST /v1/changes", o.requireKey(o.announce))
	mux.HandleFunc("GET /v1/status", o.requireKey(o.status))
}

// requireKey rejects requests without a valid operator key.
func (o *operatorAPI) requireKey(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !o.hasOperatorKey(r) {
			writeError(w, fault.New(fault.Unauthenticated, fault.NotRun, "a valid operator key is required as bearer token"))
			return
		}
		next(w, r)
	}
}

func (o *operatorAPI) hasOperatorKey(r *http.Request) bool {
	return access.Find(o.control.settings.OperatorKeys, r) != nil
}

func (o *operatorAPI) health(w http.ResponseWriter, _ *http.Request) {
	if o.control.activeReplica() == nil {
		http.Error(w, "the replica hasn't started yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (o *operatorAPI) list(w http.ResponseWriter, r *http.Request) {
	o.execute(w, r, message.OperateRequest{Kind: OperateListContracts})
}

func (o *operatorAPI) get(w http.ResponseWriter, r *http.Request) {
	o.execute(w, r, message.OperateRequest{Kind: OperateGetContract, Customer: r.PathValue("customer")})
}

func (o *operatorAPI) changes(w http.ResponseWriter, r *http.Request) {
	o.execute(w, r, message.OperateRequest{Kind: OperateListChanges})
}

func (o *operatorAPI) status(w http.ResponseWriter, r *http.Request) {
	o.execute(w, r, message.OperateRequest{Kind: OperateStatus})
}

func (o *operatorAPI) put(w http.ResponseWriter, r *http.Request) {
	var wanted contract.Contract
	body, err := gate.ReadJSON(r)
	if err == nil {
		err = settings.Parse("contract", body, &wanted)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	o.change(w, r, &wanted)
}

func (o *operatorAPI) retire(w http.ResponseWriter, r *http.Request) {
	o.change(w, r, nil)
}

func (o *operatorAPI) change(w http.ResponseWriter, r *http.Request, wanted *contract.Contract) {
	query := r.URL.Query()
	replaces, err := strconv.ParseUint(query.Get("replaces"), 10, 64)
	if err != nil {
		writeError(w, fault.New(fault.Malformed, fault.NotRun, "replaces: got %q, want the contract version to replace, or 0 for a new customer", query.Get("replaces")))
		return
	}
	wait := defaultOperatorWait
	if text := query.Get("wait"); text != "" {
		wait, err = time.ParseDuration(text)
		if err != nil {
			writeError(w, fault.New(fault.Malformed, fault.NotRun, "wait: got %q, want a duration such as 10s", text))
			return
		}
	}
	request := message.OperateRequest{
		Kind:    OperatePutContract,
		MaxWait: wait,
		Contract: &contract.Change{
			RequestID: query.Get("request"),
			Customer:  r.PathValue("customer"),
			Replaces:  replaces,
			Contract:  wanted,
		},
	}
	o.execute(w, r, request)
}

func (o *operatorAPI) announce(w http.ResponseWriter, r *http.Request) {
	var wanted change.Announcement
	body, err := gate.ReadJSON(r)
	if err == nil {
		err = settings.Parse("change", body, &wanted)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	o.execute(w, r, message.OperateRequest{Kind: OperateAnnounce, Announcement: &wanted})
}

func (o *operatorAPI) execute(w http.ResponseWriter, r *http.Request, request message.OperateRequest) {
	response, err := o.control.Operate(r.Context(), request)
	if err != nil {
		writeError(w, err)
		return
	}
	status := http.StatusOK
	switch {
	case response.Error != nil:
		status = fault.HTTPErrorOf(response.Error.Kind).Status
	case response.State == StatePending && request.Kind == OperatePutContract:
		status = http.StatusAccepted
	}
	writeResponse(w, status, response)
}

func writeError(w http.ResponseWriter, err error) {
	e := fault.FromError(err)
	writeResponse(w, fault.HTTPErrorOf(e.Kind).Status, message.OperateResponse{Error: e})
}

func writeResponse(w http.ResponseWriter, status int, response message.OperateResponse) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(response)
}
