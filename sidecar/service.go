package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/kernel"
	"endivedeck.example/message"
	"endivedeck.example/order"
)

const (
	callDialTime  = time.Second
	maxAnswer     = 8 << 20
	idleCallConns = 64
)

// Services is the slot of dialects that plain services speak.
var Services = kernel.NewSlot[ServiceDialect]("service dialect")

var _ Service = (*httpService)(nil)

type (
	// Service is a plain service as its sidecar uses it.
	Service interface {
		// Call makes one call, at most once. An error with Ran No means that
		// nothing of it can have reached the service.
		Call(ctx context.Context, call message.ServiceCall) (order.Response, error)

		// Healthy returns nil when the service takes calls.
		Healthy(ctx context.Context) error
	}

	// ServiceDialect makes a Service from the settings.
	ServiceDialect func(ServiceSettings) Service

	// httpService is a service behind HTTP.
	httpService struct {
		settings ServiceSettings
		plain    *http.Client // for calls that may be repeated
		once     *http.Client // for orders; see newOnceClient
	}
)

func init() {
	Services.Register("http", newHTTPService)
}

func newHTTPService(settings ServiceSettings) Service {
	return &httpService{settings: settings, plain: newPlainClient(), once: newOnceClient()}
}

// newPlainClient is for calls that may be repeated.
func newPlainClient() *http.Client {
	dialer := &net.Dialer{Timeout: callDialTime}
	return &http.Client{
		Transport:     &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleCallConns},
		CheckRedirect: keepRedirect,
	}
}

// newOnceClient is for orders. Its connections aren't used twice: over a used
// connection that breaks, net/http sends a request that carries an
// Idempotency-Key again by itself.
func newOnceClient() *http.Client {
	dialer := &net.Dialer{Timeout: callDialTime}
	return &http.Client{
		Transport:     &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
		CheckRedirect: keepRedirect,
	}
}

func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Healthy implements Service.
func (s *httpService) Healthy(ctx context.Context) error {
	if s.settings.Health == "" {
		return nil
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.settings.Address+s.settings.Health, nil)
	if err != nil {
		return err
	}
	answer, err := s.plain.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fault.New(fault.Unavailable, fault.No, "the service's health check answers %d", answer.StatusCode)
	}
	return nil
}

// Call implements Service.
func (s *httpService) Call(ctx context.Context, call message.ServiceCall) (order.Response, error) {
	r, err := http.NewRequestWithContext(ctx, call.Method, "http://"+s.settings.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return order.Response{}, fault.New(fault.Malformed, fault.No, "%v", err)
	}
	if call.ContentType != "" {
		r.Header.Set("Content-Type", call.ContentType)
	}
	client := s.plain
	if call.Order != 0 {
		client = s.once
		r.Header.Set("Idempotency-Key", call.Key)
	}
	answer, err := client.Do(r)
	if err != nil {
		return order.Response{}, callError(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer+1))
	if err != nil || len(body) > maxAnswer {
		return order.Response{}, fault.New(fault.Broken, fault.Unknown, "the service's answer broke off or is too large")
	}
	return order.Response{
		Status:      answer.StatusCode,
		ContentType: answer.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

// callError proves that nothing ran only where no connection was made.
func callError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.New(fault.Unavailable, fault.No, "no connection to the service: %v", err)
	}
	return fault.New(fault.Broken, fault.Unknown, "the service didn't answer: %v", err)
}
