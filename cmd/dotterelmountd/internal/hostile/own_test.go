package hostile

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// own is a daemon with the project's own interface.
type own struct {
	*process
	callers, peers string
}

func startOwn(t *testing.T) *own {
	t.Helper()
	log := start(t, "log").listening()
	o := &own{callers: freeAddress(t), peers: freeAddress(t)}
	path := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(path, fmt.Appendf(nil,
		"daemon: d1\ndata_centre: z1\nlisten: {callers: %q, peers: %q}\nplatform: {log: %q}\nlimits: {step_bytes: %d, body_bytes: %d}\nhost: {memory_mb: %d, descriptors: %d}\n",
		o.callers, o.peers, log, maxBodyBytes, maxBodyBytes, memoryMB, descriptors), 0o600))
	o.process = start(t, "dotterelmountd", "--settings", path)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := o.ordinary(); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
	return o
}

// ordinary makes an ordinary request of a trainer and asks whether the daemon lives.
func (o *own) ordinary() error {
	if err := ask(http.MethodPost, "http://"+o.callers+"/v1/trainers/t1/pull", `{"wait_ms":-1}`, http.StatusBadRequest, ""); err != nil {
		return err
	}
	return ask(http.MethodGet, "http://"+o.callers+"/healthz", "", http.StatusNoContent, "")
}

const (
	trainerPath = "/v1/trainers/t1/steps"
	plansPath   = "/v1/admin/plan-list"
	chatPath    = "/v1/chat/completions"
)

// The process survives each kind of caller on its own interface.
func TestOwnCallers(t *testing.T) {
	for _, c := range []struct {
		name  string
		path  string
		conns int
		play  func(path string) func(net.Conn)
	}{
		{"heads over the limit", chatPath, 400, headOver},
		{"heads without end", chatPath, 400, headWithoutEnd},
		{"empty lines without end", chatPath, 96, emptyLines},
		{"many lines in an open head", chatPath, 400, manyLines},
		{"many lines and an open body", trainerPath, 400, manyLinesAndBody},
		{"bodies with a length", trainerPath, 48, bodyWithLength},
		{"bodies in chunks", trainerPath, 48, bodyInChunks},
		{"bodies with one byte a chunk", trainerPath, 24, bytesInChunks},
		{"trailers without end", trainerPath, 48, trailersWithoutEnd},
		{"silent connections", chatPath, 400, silent},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := startOwn(t)
			o.attack(o.callers, c.conns, c.play(c.path), o.ordinary)
		})
	}
}

// The process survives lists of operators of legal size that stop just short.
func TestOwnOperators(t *testing.T) {
	o := startOwn(t)
	put := func(c net.Conn) {
		text := head(plansPath, fmt.Sprintf("Content-Length: %d", maxBodyBytes))
		send(c, strings.Replace(text, "POST", "PUT", 1), "\r\n\"", strings.Repeat("b", maxBodyBytes-2))
	}
	o.attack(o.callers, 48, put, o.ordinary)
}

// The process survives steps of trainers of legal size with very many groups.
func TestOwnStepsWithManyGroups(t *testing.T) {
	o := startOwn(t)
	body := []byte(`{"customer":"c","model":"m","step":"s","groups":[` + strings.Repeat("0,", maxBodyBytes/2-100) + "0]}")
	o.attack(o.callers, 3, wholeBody(trainerPath, body), o.ordinary)
}

// The process survives other daemons' address being called by anyone.
func TestOwnPeers(t *testing.T) {
	for _, c := range peerKinds {
		t.Run(c.name, func(t *testing.T) {
			o := startOwn(t)
			o.attack(o.peers, c.conns, c.play, o.ordinary)
		})
	}
}
