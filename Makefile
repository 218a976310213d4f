BIN := $(CURDIR)/.bin
GOFILES = $(shell git ls-files --cached --others --exclude-standard '*.go' | grep -v '\.pb\.go$$')
SEED ?= 1
STEPS ?= 200
DURATION ?= 30s
CONTROL ?= --daemons 4,8,16,32 --repeats 2
EXPERIMENT ?= slowdowns

.PHONY: all build test lint fmt tidy generate demo random soak hostedsoak bench control clean

all: build

build: ## builds all programs into .bin
	@mkdir -p $(BIN)
	go build -o $(BIN)/ work

$(BIN)/gofumpt $(BIN)/staticcheck: tools/go.mod
	@mkdir -p $(BIN)
	cd tools && GOWORK=off go build -o $(BIN)/ mvdan.cc/gofumpt honnef.co/go/tools/cmd/staticcheck

fmt: $(BIN)/gofumpt
	@$(BIN)/gofumpt -w $(GOFILES)

lint: $(BIN)/gofumpt $(BIN)/staticcheck
	@out=$$($(BIN)/gofumpt -l $(GOFILES)); if [ -n "$$out" ]; then echo "gofumpt:"; echo "$$out"; exit 1; fi
	go vet work
	$(BIN)/staticcheck work
	tools/shape.sh

test: ## runs all tests; randomised tests use a fixed seed: SEED=n
	RAPID_SEED=$(SEED) RAPID_NOFAILFILE=1 go test work

demo: build ## runs a complete deployment on loopback and checks it
	$(BIN)/demo --bin $(BIN) --out out/demo

soak: build ## runs a complete deployment under faults: SEED=n DURATION=d
	$(BIN)/soak --bin $(BIN) --out out/soak-$(SEED) --seed $(SEED) --duration $(DURATION)

hostedsoak: build ## runs hosted daemons on a stand-in of the platform under faults: SEED=n DURATION=d
	$(BIN)/hostedsoak --bin $(BIN) --out out/hostedsoak-$(SEED) --seed $(SEED) --duration $(DURATION) --same-build

control: build ## measures the cost of coordination per daemon: CONTROL=flags
	$(BIN)/control --bin $(BIN) --out out/control $(CONTROL)

bench: build ## runs an experiment from bench/load/experiments: EXPERIMENT=name
	$(BIN)/load --bin $(BIN) --experiment bench/load/experiments/$(EXPERIMENT).yaml --out out/load

tidy:
	tools/tidy.sh

generate: ## regenerates the committed drpc code
	tools/protogen/generate.sh

clean:
	rm -rf $(BIN) out

random: ## runs the randomised tests, STEPS cases per property: SEED=n STEPS=n
	@echo "seed $(SEED), $(STEPS) runs of each property"
	RAPID_SEED=$(SEED) RAPID_CHECKS=$(STEPS) RAPID_NOFAILFILE=1 go test -count=1 $$(git grep -l 'rapid.Check' -- '*_test.go' | xargs -n1 dirname | sort -u | sed 's#^#./#')
