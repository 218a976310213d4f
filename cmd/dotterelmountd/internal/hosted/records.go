package hosted

import (
	"context"
	"time"

	"dotterelmount.example/lib/batch"
	"dotterelmount.example/lib/batch/batchcodec"
	"dotterelmount.example/lib/batch/replay"
	"dotterelmount.example/lib/journal"
	"dotterelmount.example/platform/store"
	"dotterelmount.example/server/chunks"
	"dotterelmount.example/server/committer"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

func (n *Node) startCommitter(j journal.Journal, name, process string) *committer.Committer {
	cfg := committerConfig
	cfg.Name, cfg.Producer = name, process
	cfg.MaxRecordBytes, cfg.MaxAppendBytes = n.settings.MaxRecordBytes, n.settings.MaxAppendBytes
	return committer.Start(n.system, j, cfg, n.log.Logger)
}

// startChunks starts the reader and the committer of the chunk topic, which holds
// bodies and texts outside the journal.
func (n *Node) startChunks(storeClient *store.Client, process string) {
	var partitions []journal.Fetcher
	for i := range replay.ChunkPartitions {
		partitions = append(partitions, storeClient.Partition(replay.ChunkTopic, i))
	}
	n.chunkReader = chunks.Start(n.system, partitions, chunkReaderConfig)
	n.chunkPartition = int(xxhash.Sum64String(n.settings.Daemon) % replay.ChunkPartitions)
	n.chunkCommitter = n.startCommitter(storeClient.Partition(replay.ChunkTopic, n.chunkPartition), replay.ChunkTopic, process)
}

// commitRecord appends a record to the journal, retrying while the journal refuses
// it. It returns the record's offset as used by the state, one above that of its
// last part.
func (n *Node) commitRecord(ctx context.Context, r batch.Record) (batch.Offset, error) {
	data, err := batchcodec.Encode(r)
	if err != nil {
		return 0, err
	}
	loc, err := n.committer.CommitWithRetry(ctx, data)
	return batch.Offset(loc.LastOffset()) + 1, err
}

// chunkRef returns the reference of a chunk in this daemon's partition.
func (n *Node) chunkRef(loc committer.RecordRange, bytes int) batch.ChunkRef {
	return batch.ChunkRef{Partition: n.chunkPartition, FirstOffset: uint64(loc.FirstOffset), Records: loc.Parts, Bytes: bytes}
}

// storeText stores a chunk of text and then the record that refers to it. It
// returns the offset of the record.
func (n *Node) storeText(ctx context.Context, r *batch.TextAdded, data string) (batch.Offset, error) {
	if r.EventCount > 0 {
		loc, err := n.chunkCommitter.CommitWithRetry(ctx, []byte(data))
		if err != nil {
			return 0, err
		}
		r.Chunk = n.chunkRef(loc, len(data))
	}
	return n.commitRecord(ctx, r)
}

// postText is storeText without waiting. If a record can't be queued, the missing
// events cause the later ones of the run to be ignored.
func (n *Node) postText(r *batch.TextAdded, data string) error {
	return n.chunkCommitter.PostWithCallback([]byte(data), func(loc committer.RecordRange) {
		r.Chunk = n.chunkRef(loc, len(data))
		if err := n.propose(r, 0); err != nil {
			n.log.Warn("queueing a text record failed", zap.String("item", string(r.Item)), zap.Error(err))
		}
	})
}

// propose appends a record without waiting. It drops the record if its append has
// not started within the given time; zero means no limit.
func (n *Node) propose(r batch.Record, within time.Duration) error {
	data, err := batchcodec.Encode(r)
	if err != nil {
		return err
	}
	return n.committer.Post(data, within)
}
