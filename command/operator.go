package command

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/internal/responses/head"
	"endivedeck.example/message"
)

const (
	requestTimeout   = 90 * time.Second
	keyEnv           = "ENDIVEDECK_OPERATOR_KEY"
	maxResponseBytes = 64 << 20
)

// operatorClient is a client of control's operator API.
type operatorClient struct {
	addresses string
	key       string
	json      bool
}

func (o *operatorClient) setFlags(f *flag.FlagSet) {
	f.StringVar(&o.addresses, "control", "127.0.0.1:7500", "comma-separated operator API `addresses` of control instances")
	f.BoolVar(&o.json, "json", false, "print the response as JSON")
	o.key = os.Getenv(keyEnv)
}

// send sends a request to the control instances in turn, as long as they are
// unavailable. A request whose connection failed may have run, so it must be
// idempotent or have a request ID.
func (o *operatorClient) send(ctx context.Context, method, path string, query url.Values, body []byte) (message.OperateResponse, error) {
	var lastErr error
	for _, address := range strings.Split(o.addresses, ",") {
		result, err := o.sendTo(ctx, strings.TrimSpace(address), method, path, query, body)
		if err == nil {
			return result, nil
		}
		lastErr = err
		if fault.KindOf(err) != fault.Unavailable {
			break
		}
	}
	return message.OperateResponse{}, lastErr
}

func (o *operatorClient) sendTo(ctx context.Context, address, method, path string, query url.Values, body []byte) (message.OperateResponse, error) {
	var result message.OperateResponse
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return result, fault.New(fault.Malformed, fault.NotRun, "%v", err)
	}
	r.Header.Set("Authorization", "Bearer "+o.key)
	response, err := newClient().Do(r)
	if err != nil {
		return result, fault.New(fault.Unavailable, fault.MaybeRun, "%s: %v", address, err)
	}
	defer response.Body.Close()
	if err := head.CheckStatus(response.StatusCode); err != nil {
		return result, fault.New(fault.Broken, fault.MaybeRun, "%s: %v", address, err)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return result, fault.New(fault.Broken, fault.MaybeRun, "%s: %v", address, err)
	}
	if err := json.Unmarshal(text, &result); err != nil {
		return result, fault.New(fault.Broken, fault.MaybeRun, "%s: response with status %s is not JSON", address, response.Status)
	}
	return result, fault.WithStack(result.Error)
}

func (o *operatorClient) writeJSON(out io.Writer, result message.OperateResponse) {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(result)
}
