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
	maxEventBytes = 1 << 20 // of one line of a stream
)

// readStream reads server-sent events up to the done marker. The outcome is
// complete if the stream has a finish reason and the marker; a failure arrives as
// an event with an error.
func readStream(res *http.Response, response *Response) error {
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
			return finishStream(response, finished)
		}
		final, err := response.addEvent(event)
		if err != nil {
			return err
		}
		finished = finished || final
	}
	return &ResponseError{Status: response.Status, Reason: "stream without done marker", Cause: lines.Err()}
}

func finishStream(response *Response, finished bool) error {
	if !finished {
		return &ResponseError{Status: response.Status, Reason: "stream without finish reason"}
	}
	response.Outcome = api.OutcomeComplete
	return nil
}

// addEvent adds one event and reports whether it has a finish reason.
func (r *Response) addEvent(event string) (bool, error) {
	var body chatResponseBody
	if err := json.Unmarshal([]byte(event), &body); err != nil {
		return false, &ResponseError{Status: r.Status, Reason: "event", Cause: err} // the event is malformed
	}
	if len(body.Error) > 0 {
		r.Outcome, _ = api.ParseOutcome(body.Outcome) // zero if unknown
		return false, &ResponseError{Status: r.Status, Outcome: r.Outcome, Reason: shorten(string(body.Error))}
	}
	r.addVersions(body)
	finished := false
	for _, choice := range body.Choices {
		r.Text += choice.Delta.Content
		finished = finished || choice.FinishReason != ""
	}
	return finished, nil
}
