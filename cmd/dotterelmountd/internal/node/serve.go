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
	// trainerTimeout bounds a trainer's call in addition to the requested wait.
	trainerTimeout = 15 * time.Second
	maxPullWait    = 30 * time.Second
)

// trainerService implements trainerapi.Service. It refuses calls, except for the
// trainer's state, while the daemon is not ready.
type trainerService struct{ n *Node }

// OpenStep implements trainerapi.Service.
func (s trainerService) OpenStep(ctx context.Context, t api.TrainerID, step samples.StepOpened) error {
	if err := s.n.ready(); err != nil {
		return err
	}
	return s.n.sampler.OpenStep(ctx, t, step)
}

// AbandonStep implements trainerapi.Service.
func (s trainerService) AbandonStep(ctx context.Context, t api.TrainerID, step samples.StepID, actor string) (sampler.AbandonResult, error) {
	if err := s.n.ready(); err != nil {
		return sampler.AbandonResult{}, err
	}
	result, err := s.n.sampler.AbandonStep(ctx, t, step, actor)
	s.n.log.Info("step abandoned", zap.String("trainer", string(t)), zap.String("step", string(step)),
		zap.String("by", actor), zap.Int("lost", len(result.LostSamples)), zap.Error(err))
	return result, err
}

// Pull implements trainerapi.Service.
func (s trainerService) Pull(ctx context.Context, q sampler.PullRequest) (sampler.PullResult, error) {
	if err := s.n.ready(); err != nil {
		return sampler.PullResult{}, err
	}
	return s.n.sampler.Pull(ctx, q)
}

// TrainerState implements trainerapi.Service.
func (s trainerService) TrainerState(ctx context.Context, t api.TrainerID) (samples.Report, error) {
	return s.n.sampler.TrainerState(ctx, t)
}

// writeTrainerError writes the response of a failed call of a trainer. The outcome
// is not-run only if the call certainly changed nothing; trainers can safely
// repeat every call.
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
