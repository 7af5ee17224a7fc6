package control

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"endivedeck.example/change"
	"endivedeck.example/contract"
	"endivedeck.example/fault"
	"endivedeck.example/gate"
	"endivedeck.example/kernel"
	"endivedeck.example/message"
	"endivedeck.example/settings"
)

const defaultOperatorWait = 15 * time.Second

// operators is the operators' interface over HTTP.
type operators struct {
	control *Control
}

// OperatorAPIs is the slot of operators' interfaces.
var OperatorAPIs = kernel.NewSlot[OperatorAPI]("operators' interface")

// OperatorAPI adds an operators' interface to mux.
type OperatorAPI func(mux *http.ServeMux, desk *API)

func init() {
	OperatorAPIs.Register("contracts", addContracts)
}

func (c *Control) openGate() error {
	add, err := OperatorAPIs.Find(c.settings.OperatorAPI)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	add(mux, &API{control: c})
	g, err := gate.New(c.settings.OperatorListen, mux, c.settings.Limits, nil)
	if err != nil {
		return err
	}
	c.gate = g
	return nil
}

func addContracts(mux *http.ServeMux, desk *API) {
	o := &operators{control: desk.control}
	mux.HandleFunc("GET /healthz", o.health)
	mux.HandleFunc("GET /v1/contracts", o.guard(o.list))
	mux.HandleFunc("GET /v1/contracts/{customer}", o.guard(o.get))
	mux.HandleFunc("PUT /v1/contracts/{customer}", o.guard(o.put))
	mux.HandleFunc("DELETE /v1/contracts/{customer}", o.guard(o.retire))
	mux.HandleFunc("GET /v1/changes", o.guard(o.changes))
	mux.HandleFunc("POST /v1/changes", o.guard(o.announce))
	mux.HandleFunc("GET /v1/status", o.guard(o.status))
}

// guard lets operators in by their key and nobody else.
func (o *operators) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !o.knows(r) {
			fail(w, fault.New(fault.Unauthenticated, fault.No, "an operator's key is needed as bearer token"))
			return
		}
		next(w, r)
	}
}

func (o *operators) knows(r *http.Request) bool {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return false
	}
	hash := contract.HashKey(key)
	for _, operator := range o.control.settings.OperatorKeys {
		if subtle.ConstantTimeCompare([]byte(hash), []byte(operator.Hash)) == 1 {
			return true
		}
	}
	return false
}

func (o *operators) health(w http.ResponseWriter, _ *http.Request) {
	if o.control.current() == nil {
		http.Error(w, "not a member yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (o *operators) list(w http.ResponseWriter, r *http.Request) {
	o.answer(w, r, message.Operate{Kind: OperateListContracts})
}

func (o *operators) get(w http.ResponseWriter, r *http.Request) {
	o.answer(w, r, message.Operate{Kind: OperateGetContract, Customer: r.PathValue("customer")})
}

func (o *operators) changes(w http.ResponseWriter, r *http.Request) {
	o.answer(w, r, message.Operate{Kind: OperateListChanges})
}

func (o *operators) status(w http.ResponseWriter, r *http.Request) {
	o.answer(w, r, message.Operate{Kind: OperateStatus})
}

func (o *operators) put(w http.ResponseWriter, r *http.Request) {
	var wanted contract.Contract
	text, err := gate.ReadBody(r)
	if err == nil {
		err = settings.Parse("contract", text, &wanted)
	}
	if err != nil {
		fail(w, err)
		return
	}
	o.change(w, r, &wanted)
}

func (o *operators) retire(w http.ResponseWriter, r *http.Request) {
	o.change(w, r, nil)
}

func (o *operators) change(w http.ResponseWriter, r *http.Request, wanted *contract.Contract) {
	query := r.URL.Query()
	replaces, err := strconv.ParseUint(query.Get("replaces"), 10, 64)
	if err != nil {
		fail(w, fault.New(fault.Malformed, fault.No, "replaces: want the version that the change replaces, 0 for a new customer"))
		return
	}
	wait := defaultOperatorWait
	if text := query.Get("wait"); text != "" {
		wait, err = time.ParseDuration(text)
		if err != nil {
			fail(w, fault.New(fault.Malformed, fault.No, "wait: want a duration such as 10s"))
			return
		}
	}
	ask := message.Operate{
		Kind: OperatePutContract,
		Wait: wait,
		Contract: &contract.Change{
			RequestID: query.Get("request"),
			Customer:  r.PathValue("customer"),
			Replaces:  replaces,
			Contract:  wanted,
		},
	}
	o.answer(w, r, ask)
}

func (o *operators) announce(w http.ResponseWriter, r *http.Request) {
	var wanted change.Announcement
	text, err := gate.ReadBody(r)
	if err == nil {
		err = settings.Parse("change", text, &wanted)
	}
	if err != nil {
		fail(w, err)
		return
	}
	o.answer(w, r, message.Operate{Kind: OperateAnnounce, Announcement: &wanted})
}

func (o *operators) answer(w http.ResponseWriter, r *http.Request, ask message.Operate) {
	operated, err := o.control.Operate(r.Context(), ask)
	if err != nil {
		fail(w, err)
		return
	}
	status := http.StatusOK
	switch {
	case operated.Error != nil:
		status = fault.AnswerTo(operated.Error.Kind).Status
	case operated.State == StatePending && ask.Kind == OperatePutContract:
		status = http.StatusAccepted
	}
	write(w, status, operated)
}

func fail(w http.ResponseWriter, err error) {
	e := fault.From(err)
	write(w, fault.AnswerTo(e.Kind).Status, message.Operated{Error: e})
}

func write(w http.ResponseWriter, status int, operated message.Operated) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(operated)
}
