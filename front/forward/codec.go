package forward

import (
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/forward/forwardpb"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/routes"
)

func requestToProto(q *opaque.Request, left time.Duration) *forwardpb.Request {
	return &forwardpb.Request{
		Id: string(q.ID), Method: q.Method, RequestUri: q.RequestURI, Host: q.Host, Headers: headersToProto(q.Headers), Body: q.Body,
		Service: q.Service, Route: q.Route.Name, Kind: uint32(q.Route.Kind), Resumable: q.Route.Resumable, Attempts: uint32(max(0, q.Route.MaxAttempts)),
		LatencyTargetMillis: millis(q.Route.LatencyTarget), LeftMillis: millis(left), Owed: q.Owed, ConfigVersion: q.ConfigVersion,
		LastEvent: uint32(max(0, q.LastEvent)), Software: q.Software, Customer: q.Customer, Priority: int32(q.Priority),
	}
}

// requestFromProto converts a request that arrived at a time. Its route has only what
// matters for the choice of upstreams and attempts. Errors: *FormatError.
func requestFromProto(p *forwardpb.Request, now time.Time) (*opaque.Request, error) {
	if p.GetId() == "" || p.GetService() == "" || p.GetAttempts() == 0 || p.GetKind() > uint32(routes.KindBatch) {
		return nil, &FormatError{Detail: "request without an id, a service, attempts or a known kind"}
	}
	return &opaque.Request{
		ID: api.RequestID(p.GetId()), Method: p.GetMethod(), RequestURI: p.GetRequestUri(), Host: p.GetHost(), Headers: headersFromProto(p.GetHeaders()),
		Body: p.GetBody(), Service: p.GetService(), Arrived: now, Deadline: now.Add(duration(p.GetLeftMillis())), Owed: p.GetOwed(),
		ConfigVersion: p.GetConfigVersion(), LastEvent: int(p.GetLastEvent()), Software: p.GetSoftware(), Forwarded: true,
		Customer: p.GetCustomer(), Priority: int(p.GetPriority()),
		Route: &routes.Route{
			Name: p.GetRoute(), Kind: routes.Kind(p.GetKind()), Resumable: p.GetResumable(), MaxAttempts: int(p.GetAttempts()),
			LatencyTarget:    duration(p.GetLatencyTargetMillis()),
			WeightedServices: []routes.WeightedService{{Service: p.GetService(), Weight: 1}},
		},
	}, nil
}

func headersToProto(fields []opaque.HeaderField) []*forwardpb.Header {
	out := make([]*forwardpb.Header, 0, len(fields))
	for _, f := range fields {
		out = append(out, &forwardpb.Header{Name: f.Name, Value: f.Value})
	}
	return out
}

func headersFromProto(list []*forwardpb.Header) []opaque.HeaderField {
	out := make([]opaque.HeaderField, 0, len(list))
	for _, h := range list {
		out = append(out, opaque.HeaderField{Name: h.GetName(), Value: h.GetValue()})
	}
	return out
}

func millis(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
