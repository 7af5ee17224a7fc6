package relay

import (
	"encoding/json"
	"net/http"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/gate"
	"endivedeck.example/internal/operators/access"
	"endivedeck.example/internal/prompts/quarantine"
	"endivedeck.example/message"
	"endivedeck.example/placement"
	"endivedeck.example/routes"
)

// PreviewPath is the path of previews at Settings.ReadyListen.
const PreviewPath = "/v1/preview"

const maxPreviewBytes = 1 << 20 // size of a preview's request

// readyHandler returns the handler of Settings.ReadyListen. Previews are served only if
// there are operators who may ask for them.
func (r *Relay) readyHandler() http.Handler {
	if len(r.settings.OperatorKeys) == 0 {
		return http.HandlerFunc(r.serveReady)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PreviewPath, r.servePreview)
	mux.HandleFunc("/", r.serveReady)
	return mux
}

// servePreview answers an operator's message.PreviewRequest.
func (r *Relay) servePreview(w http.ResponseWriter, req *http.Request) {
	var response message.PreviewResponse
	operator := access.Find(r.settings.OperatorKeys, req)
	if operator == nil {
		response.Error = fault.FromError(fault.New(fault.Unauthenticated, fault.NotRun, "a valid operator key is required as bearer token"))
	} else {
		response = r.readPreview(w, req)
	}
	status := http.StatusOK
	if response.Error != nil {
		status = fault.HTTPErrorOf(response.Error.Kind).Status
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(response); err != nil {
		r.log.WithField("error", err.Error()).Debug("writing a preview failed")
	}
}

func (r *Relay) readPreview(w http.ResponseWriter, req *http.Request) message.PreviewResponse {
	req.Body = http.MaxBytesReader(w, req.Body, maxPreviewBytes)
	body, err := gate.ReadBody(req)
	if err != nil {
		return message.PreviewResponse{Error: fault.FromError(err)}
	}
	var query message.PreviewRequest
	if err := json.Unmarshal(body, &query); err != nil {
		return message.PreviewResponse{Error: fault.FromError(fault.New(fault.Malformed, fault.NotRun, "%v", err))}
	}
	return r.preview(time.Now(), query)
}

// preview returns where a request would be sent now. It takes the steps of a request up
// to its placement, but none that counts something.
func (r *Relay) preview(now time.Time, query message.PreviewRequest) message.PreviewResponse {
	response := message.PreviewResponse{Relay: r.host.Process.Instance}
	response.Version, _ = r.routeView.Version()
	j := &job{relay: r, start: now, preview: true, response: &callerResponse{retryAfter: defaultRetryAfter}, tried: map[string]bool{}, clientRetry: query.Returned}
	j.request = &http.Request{Method: http.MethodPost, Host: query.Host, RequestURI: query.Path, Header: http.Header(query.Header)}
	for _, id := range query.Tried {
		j.tried[id] = true
	}
	err := j.identifyPreview(query)
	if j.route != nil {
		response.Route = j.route.Name
	}
	if j.team != nil {
		response.Team = j.team.Name
	}
	if err == nil {
		j.parts = j.info.sharedParts()
		j.service = j.route.PickService(hashFraction(j.info.ID))
		response.Service = j.service
		for _, s := range r.roster.Servers(now) {
			if s.Draining && s.Service == j.service {
				response.Leaving = append(response.Leaving, s.ID)
			}
		}
		err = j.previewParts(now)
	}
	if err == nil {
		request := j.placementRequest(now)
		request.MustPlace = len(query.Tried) > 0 || j.route.Kind != routes.Stream
		response.Placement, err = r.placement.Preview(now, request)
		j.choice = response.Placement.Choice
	}
	if err != nil {
		err = j.finalError(err)
		j.planReturn(err)
		response.Refusal = fault.FromError(err)
		if impliesNotRun(fault.HTTPErrorOf(response.Refusal.Kind).Status) {
			response.RetryMs = float64(j.response.retryAfter.Milliseconds())
		}
	}
	return response
}

// identifyPreview is identify for a request of which the operator says a part.
func (j *job) identifyPreview(query message.PreviewRequest) error {
	if _, known := j.relay.routeView.Version(); !known {
		return errNoRoutes()
	}
	named := j.relay.routeView.TeamNamed(query.Team)
	if query.Team != "" && named == nil {
		return fault.New(fault.Unauthenticated, fault.NotRun, "no team %q", query.Team)
	}
	err := j.identify()
	if named != nil && j.route != nil && fault.KindOf(err) == fault.Unauthenticated {
		err = nil
	}
	if err != nil {
		return err
	}
	if named != nil {
		j.team = named
	}
	if len(query.Prompt) > 0 {
		j.info.Prompt, j.info.PromptTokens = nil, 0
		for _, part := range query.Prompt {
			j.info.Prompt = append(j.info.Prompt, placement.Part{ID: j.relay.dialect.PartID(part.Name), Tokens: part.Tokens})
			j.info.PromptTokens += part.Tokens
		}
	}
	if query.Tokens > 0 {
		j.info.PromptTokens = query.Tokens
	}
	if query.Answer > 0 {
		j.info.MaxTokens = query.Answer
	}
	if query.LeftMs > 0 {
		j.info.Timeout = time.Duration(query.LeftMs) * time.Millisecond
	}
	j.deadline = j.start.Add(j.timeout())
	return j.checkStop()
}

// previewParts returns the error that checkParts would return, unless this relay would
// try a quarantined part.
func (j *job) previewParts(now time.Time) error {
	v := j.relay.quarantine.Check(now, j.parts)
	if v.State != quarantine.Quarantined {
		return nil
	}
	return j.rejectPart(v)
}
