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
	"endivedeck.example/message"
)

const (
	operatorTime = 90 * time.Second
	keyVariable  = "ENDIVEDECK_OPERATOR_KEY"
	mostAnswer   = 64 << 20
)

// operator is a client of the operators' interface.
type operator struct {
	controls string
	key      string
	json     bool
}

func (o *operator) setFlags(f *flag.FlagSet) {
	f.StringVar(&o.controls, "control", "127.0.0.1:7500", "operators' `addresses` of control instances, with commas between them")
	f.BoolVar(&o.json, "json", false, "write the answer as JSON")
	o.key = os.Getenv(keyVariable)
}

// ask asks one control instance after another, as long as it is certain that
// nothing ran or the request can be sent again.
func (o *operator) ask(ctx context.Context, method, path string, query url.Values, body []byte) (message.Operated, error) {
	var last error
	for _, address := range strings.Split(o.controls, ",") {
		operated, err := o.askOne(ctx, strings.TrimSpace(address), method, path, query, body)
		if err == nil {
			return operated, nil
		}
		last = err
		if fault.Of(err) != fault.Unavailable {
			break
		}
	}
	return message.Operated{}, last
}

func (o *operator) askOne(ctx context.Context, address, method, path string, query url.Values, body []byte) (message.Operated, error) {
	var operated message.Operated
	ctx, cancel := context.WithTimeout(ctx, operatorTime)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return operated, fault.New(fault.Malformed, fault.No, "%v", err)
	}
	r.Header.Set("Authorization", "Bearer "+o.key)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return operated, fault.New(fault.Unavailable, fault.Unknown, "%s: %v", address, err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, mostAnswer))
	if err != nil {
		return operated, fault.New(fault.Broken, fault.Unknown, "%s: %v", address, err)
	}
	if err := json.Unmarshal(text, &operated); err != nil {
		return operated, fault.New(fault.Broken, fault.Unknown, "%s answered %s", address, answer.Status)
	}
	return operated, fault.Wrap(operated.Error)
}

func (o *operator) writeJSON(out io.Writer, operated message.Operated) {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(operated)
}
