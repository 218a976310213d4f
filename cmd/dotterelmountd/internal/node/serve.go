package node

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/front/adminapi"
	"dotterelmount.example/front/httpapi"
	"dotterelmount.example/front/httpapi/errmap"
	"dotterelmount.example/front/trainerapi"
	"dotterelmount.example/lib/samples"
	"dotterelmount.example/server/sampler"
	"go.uber.org/zap"
)

const (
	// trainerTimeout bounds a trainer's call on top of the wait it asks for.
	trainerTimeout = 15 * time.Second
	maxPullWait    = 30 * time.Second
)

// trainerService refuses trainers' calls while the daemon is not ready.
type trainerService struct{ n *Node }

// OpenStep implements trainerapi.Service.
func (r trainerService) OpenStep(ctx context.Context, t api.TrainerID, step samples.StepOpened) error {
	if err := r.n.ready(); err != nil {
		return err
	}
	return r.n.sampler.OpenStep(ctx, t, step)
}

// AbandonStep implements trainerapi.Service.
func (r trainerService) AbandonStep(ctx context.Context, t api.TrainerID, step samples.StepID, by string) (sampler.AbandonResult, error) {
	if err := r.n.ready(); err != nil {
		return sampler.AbandonResult{}, err
	}
	a, err := r.n.sampler.AbandonStep(ctx, t, step, by)
	r.n.log.Info("step abandoned", zap.String("trainer", string(t)), zap.String("step", string(step)),
		zap.String("by", by), zap.Int("lost", len(a.LostSamples)), zap.Error(err))
	return a, err
}

// Pull implements trainerapi.Service.
func (r trainerService) Pull(ctx context.Context, q sampler.PullRequest) (sampler.PullResult, error) {
	if err := r.n.ready(); err != nil {
		return sampler.PullResult{}, err
	}
	return r.n.sampler.Pull(ctx, q)
}

// TrainerState implements trainerapi.Service.
func (r trainerService) TrainerState(ctx context.Context, t api.TrainerID) (samples.Report, error) {
	return r.n.sampler.TrainerState(ctx, t)
}

// writeTrainerError answers a trainer's call that failed. Repeating a call is
// always safe, so only what surely changed nothing is told as not run.
func writeTrainerError(w http.ResponseWriter, err error) {
	outcome := api.OutcomeNotRun
	switch api.CodeOf(err) {
	case api.CodeUnknownResult, api.CodeDeadlineExceeded, api.CodeInternal, api.CodeCancelled:
		outcome = api.OutcomeUnknown
	}
	errmap.Write(w, err, outcome)
}

func (n *Node) routes() http.Handler {
	mux := http.NewServeMux()
	httpapi.Register(mux, n.callerDeps())
	mux.Handle("/v1/admin/", adminapi.NewHandler(&adminService{n}))
	trainerapi.Register(mux, trainerapi.Config{
		MaxBodyBytes: n.settings.Limits.StepBytes, CallTimeout: trainerTimeout, MaxWait: maxPullWait,
	}, trainerService{n}, writeTrainerError)
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}
