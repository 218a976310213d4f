// Program engine is a stand-in for a model engine. It batches continuously,
// caches prompt prefixes, streams tokens each with the weight version that
// generated it, and executes load orders. Faults are injected over HTTP.
package main

import (
	"context"
	"os"
	"strconv"
	"strings"
	"time"

	"dotterelmount.example/api"
	"dotterelmount.example/lib/program"
	"dotterelmount.example/standin/journal"
	"dotterelmount.example/standin/serve"
	"github.com/urfave/cli/v3"
)

func main() { program.Main(cliCommand()) }

func cliCommand() *cli.Command {
	return &cli.Command{
		Name:   "engine",
		Usage:  "stand-in for a model engine",
		Flags:  flags(),
		Action: run,
	}
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ip:port`; port 0 takes a free one"},
		&cli.StringSliceFlag{Name: "model", Value: []string{"m:1"}, Usage: "`name:version` loaded at startup; may be repeated"},
		&cli.IntFlag{Name: "slots", Value: 8, Usage: "maximum number of sequences decoded concurrently"},
		&cli.DurationFlag{Name: "token-time", Value: 2 * time.Millisecond, Usage: "time of a decoding step of one sequence"},
		&cli.FloatFlag{Name: "batch-growth", Value: 0.1, Usage: "fraction of the token time that each further sequence adds to a step"},
		&cli.DurationFlag{Name: "prefill-time", Value: 50 * time.Microsecond, Usage: "time per prompt token that is not cached"},
		&cli.IntFlag{Name: "cache-entries", Value: 256, Usage: "capacity of the prefix cache"},
		&cli.DurationFlag{Name: "cache-lag", Value: time.Second, Usage: "delay until a cache event can be read"},
		&cli.Uint64Flag{Name: "cache-gap", Value: 10, Usage: "every `n`th cache event is lost; 0 for none"},
		&cli.DurationFlag{Name: "load-lag", Value: time.Second, Usage: "age of the load report that is served"},
		&cli.DurationFlag{Name: "load-time", Value: 100 * time.Millisecond, Usage: "duration of loading a weight version"},
		&cli.BoolFlag{Name: "fenced", Usage: "refuse load orders with a stale fencing token"},
		&cli.StringFlag{Name: "weight-store", Usage: "`URL` of the weight store to download from; empty for none"},
		&cli.IntFlag{Name: "journal-limit", Value: 200_000, Usage: "requests kept in the in-memory journal"},
		&cli.StringFlag{Name: "journal", Usage: "`FILE` to which the start and end of requests are written; empty for none"},
	}
}

func run(ctx context.Context, c *cli.Command) error {
	models, err := parseModels(c.StringSlice("model"))
	if err != nil {
		return err
	}
	file, err := journal.Open(c.String("journal"))
	if err != nil {
		return err
	}
	cfg := config{
		slots:         max(1, c.Int("slots")),
		tokenTime:     c.Duration("token-time"),
		batchGrowth:   c.Float("batch-growth"),
		prefillTime:   c.Duration("prefill-time"),
		cacheEntries:  c.Int("cache-entries"),
		cacheLag:      c.Duration("cache-lag"),
		cacheGapEvery: c.Uint64("cache-gap"),
		loadLag:       c.Duration("load-lag"),
		loadTime:      c.Duration("load-time"),
		fenced:        c.Bool("fenced"),
		weightStore:   c.String("weight-store"),
		journalLimit:  max(1, c.Int("journal-limit")),
		journal:       file,
		models:        models,
	}
	h := newHandler(cfg, os.Exit)
	return serve.Run(ctx, c.String("listen"), h.routes(), os.Stdout)
}

// parseModels reads "name:version" pairs. Errors: CodeInvalid.
func parseModels(pairs []string) (map[api.ModelName]api.WeightVersion, error) {
	models := make(map[api.ModelName]api.WeightVersion, len(pairs))
	for _, pair := range pairs {
		name, version, _ := strings.Cut(pair, ":")
		n, err := strconv.ParseUint(version, 10, 64)
		if err != nil || name == "" || n == 0 {
			return nil, api.Errorf(api.CodeInvalid, "model %q; allowed: name:version with a version of at least 1", pair)
		}
		models[api.ModelName(name)] = api.WeightVersion(n)
	}
	return models, nil
}
