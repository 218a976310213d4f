// Program weightstore is a stand-in for the platform's rate-limited weight
// store.
package main

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"os"
	"strconv"
	"time"

	"dotterelmount.example/lib/program"
	"dotterelmount.example/standin/serve"
	"github.com/urfave/cli/v3"
	"golang.org/x/time/rate"
)

// weightsBytes is the size of the body served as a model's weights.
const weightsBytes = 4096

func main() { program.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "weightstore",
		Usage: "stand-in for the platform's rate-limited weight store",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ip:port`; port 0 takes a free one"},
			&cli.FloatFlag{Name: "rate", Value: 10, Usage: "downloads per second; 0 for no limit"},
			&cli.IntFlag{Name: "burst", Value: 4, Usage: "maximum burst of downloads"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve.Run(ctx, c.String("listen"), newHandler(c.Float("rate"), c.Int("burst"), time.Now), os.Stdout)
		},
	}
}

// handler serves weights, limited in rate.
type handler struct {
	limiter *rate.Limiter
	clock   func() time.Time
}

// newHandler returns a handler that allows perSecond downloads per second, with
// bursts; a perSecond of zero or less means no limit.
func newHandler(perSecond float64, burst int, clock func() time.Time) http.Handler {
	limit := rate.Limit(perSecond)
	if perSecond <= 0 {
		limit = rate.Inf
	}
	h := &handler{limiter: rate.NewLimiter(limit, max(1, burst)), clock: clock}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{model}/{version}", h.weights)
	return mux
}

// weights serves a download, or responds with 429 and Retry-After above the limit.
func (h *handler) weights(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.PathValue("version"), 10, 64)
	if err != nil || version == 0 {
		serve.WriteError(w, http.StatusBadRequest, "invalid", fmt.Sprintf("version %q; allowed: 1 and above", r.PathValue("version")))
		return
	}
	now := h.clock()
	reservation := h.limiter.ReserveN(now, 1)
	if delay := reservation.DelayFrom(now); delay > 0 {
		reservation.CancelAt(now)
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(delay.Seconds()))))
		serve.WriteError(w, http.StatusTooManyRequests, "rate-limited", delay.String())
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(make([]byte, weightsBytes))
}
