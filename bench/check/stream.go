package check

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"

	"dotterelmount.example/api"
)

const (
	dataPrefix    = "data:"
	doneMarker    = "[DONE]"
	maxEventBytes = 1 << 20 // bytes
)

// readStream reads server-sent events up to the end mark. The outcome of a
// stream is complete when it has a finish reason and the end mark; a failure
// comes as an event with an error.
func readStream(res *http.Response, reply *Response) error {
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, maxEventBytes)
	finished := false
	for lines.Scan() {
		event, ok := strings.CutPrefix(lines.Text(), dataPrefix)
		if !ok {
			continue
		}
		event = strings.TrimSpace(event)
		if event == doneMarker {
			return finishStream(reply, finished)
		}
		last, err := reply.addEvent(event)
		if err != nil {
			return err
		}
		finished = finished || last
	}
	return &ResponseError{Status: reply.Status, Reason: "stream without end mark", Cause: lines.Err()}
}

func finishStream(reply *Response, finished bool) error {
	if !finished {
		return &ResponseError{Status: reply.Status, Reason: "stream without finish reason"}
	}
	reply.Outcome = api.OutcomeComplete
	return nil
}

// addEvent adds one event; it reports whether the event has a finish reason.
func (r *Response) addEvent(event string) (bool, error) {
	var answer chatResponseBody
	if err := json.Unmarshal([]byte(event), &answer); err != nil {
		return false, &ResponseError{Status: r.Status, Reason: "event", Cause: err}
	}
	if len(answer.Error) > 0 {
		r.Outcome, _ = api.ParseOutcome(answer.Outcome) // zero when unknown
		return false, &ResponseError{Status: r.Status, Outcome: r.Outcome, Reason: shorten(string(answer.Error))}
	}
	r.addVersions(answer)
	finished := false
	for _, choice := range answer.Choices {
		r.Text += choice.Delta.Content
		finished = finished || choice.FinishReason != ""
	}
	return finished, nil
}
