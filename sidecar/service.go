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
	"endivedeck.example/internal/responses/connection"
	"endivedeck.example/internal/responses/head"
	"endivedeck.example/kernel"
	"endivedeck.example/message"
	"endivedeck.example/order"
)

const (
	serviceDialTimeout = time.Second
	maxResponseBytes   = 8 << 20
	maxHeadBytes       = 64 << 10 // of a response
)

// ServiceDialects is the registry of service dialects.
var ServiceDialects = kernel.NewRegistry[ServiceDialect]("service dialect")

var _ Service = (*httpService)(nil)

type (
	// Service is the sidecar's interface to its service.
	Service interface {
		// Call sends a call to the service, an order at most once. An error
		// with Ran NotRun means that the service has not received any part of it.
		Call(ctx context.Context, call message.ServiceCall) (order.Response, error)

		// Healthy returns nil if the service accepts calls.
		Healthy(ctx context.Context) error
	}

	// ServiceDialect returns a Service for the settings.
	ServiceDialect func(ServiceSettings) Service

	// httpService is a service called over HTTP.
	httpService struct {
		settings ServiceSettings
		client   *http.Client
	}
)

func init() {
	ServiceDialects.Register("http", newHTTPService)
}

func newHTTPService(settings ServiceSettings) Service {
	return &httpService{settings: settings, client: newServiceClient()}
}

// newServiceClient returns a client that uses each connection for one request.
// Responses bear no ID, so one that a faulty service writes again would be taken for
// the response to the next request. Besides, net/http by itself resends a request with
// an Idempotency-Key when a reused connection breaks.
func newServiceClient() *http.Client {
	return &http.Client{
		Transport:     connection.NewTransport(serviceDialTimeout, maxHeadBytes),
		CheckRedirect: dontFollowRedirect,
	}
}

func dontFollowRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Healthy implements Service.
func (s *httpService) Healthy(ctx context.Context) error {
	if s.settings.HealthPath == "" {
		return nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.settings.Address+s.settings.HealthPath, nil)
	if err != nil {
		return err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fault.New(fault.Unavailable, fault.NotRun, "the service's health check responded with status %d, want 200", response.StatusCode)
	}
	return nil
}

// Call implements Service.
func (s *httpService) Call(ctx context.Context, call message.ServiceCall) (order.Response, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+s.settings.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return order.Response{}, fault.New(fault.Malformed, fault.NotRun, "creating a request to the service: %v", err)
	}
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	if call.BeginIndex != 0 {
		request.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return order.Response{}, requestError(err)
	}
	defer response.Body.Close()
	if head.CheckStatus(response.StatusCode) != nil || response.StatusCode < http.StatusOK {
		return order.Response{}, fault.New(fault.Broken, fault.HasRun, "the service responded with status %03d, want 200 to 599", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil || len(body) > maxResponseBytes {
		return order.Response{}, fault.New(fault.Broken, fault.MaybeRun, "the service's response is truncated or exceeds %d bytes", maxResponseBytes)
	}
	return order.Response{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

// requestError returns a fault for an error of http.Client.Do. Only a failed
// dial proves that the service did not receive the request.
func requestError(err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return fault.New(fault.Unavailable, fault.NotRun, "connecting to the service: %v", err)
	}
	return fault.New(fault.Broken, fault.MaybeRun, "calling the service: %v", err)
}
