package hosted

import (
	"context"
	"time"

	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/batch/batchcodec"
	"dotterelmount.example/lib/opaque"
	"dotterelmount.example/lib/ring"
	"dotterelmount.example/server/committer"
	"go.uber.org/zap"
)

// streamIndex implements relay.StreamIndex on the journal.
type streamIndex struct{ n *Node }

// Began implements relay.StreamIndex.
func (s *streamIndex) Began(ctx context.Context, q *opaque.Request, software string) {
	data, err := batchcodec.Encode(&batch.StreamBegan{Request: q.ID, Service: q.Service, Software: software, AtMillis: time.Now().UnixMilli()})
	stored := ring.NewSlot[struct{}]()
	if err == nil {
		err = s.n.committer.PostWithCallback(data, func(committer.RecordRange) { stored.Put(struct{}{}) })
	}
	if err == nil {
		waitCtx, cancel := context.WithTimeout(ctx, streamRecordWait)
		defer cancel()
		_, err = stored.Wait(waitCtx)
	}
	if err != nil {
		s.n.log.Info("stream begins before its software is stored", zap.String("request", string(q.ID)), zap.String("software", software), zap.Error(err))
	}
}

// Origin implements relay.StreamIndex.
func (s *streamIndex) Origin(ctx context.Context, q *opaque.Request) (opaque.StreamOrigin, error) {
	service, software, err := s.n.replica.Load().StreamOrigin(ctx, q.Service, q.Resumes)
	return opaque.StreamOrigin{Service: service, Software: software}, err
}
