MODULES := tanager tanagerd tanagerctl tanagerfake tanagerbench scenarios platform soak tanagercheck
BIN := $(CURDIR)/bin

.PHONY: build demo test bench lint format soak check-orders

build:
	cd tanagerd && go build -o $(BIN)/tanagerd .
	cd tanagerctl && go build -o $(BIN)/tanagerctl .
	cd tanagerfake && go build -o $(BIN)/tanagerfake .

demo: build
	./scripts/demo.sh

test:
	./scripts/test.sh

lint:
	./scripts/lint.sh

# Runs the fault-injection soak test with real processes on ten new seeds.
soak: build
	cd soak && go build -o $(BIN)/soak .
	$(BIN)/soak --binary $(BIN)/tanagerd --first $$(date +%s) --seeds 10

# Explores takeovers by random walks with new seeds.
check-orders:
	cd tanagercheck && GOMAXPROCS=1 go test -count=1 -timeout 30m -v -run TestWalks . -seed $$(date +%s)000 -walks 1000

bench:
	cd tanagerbench && go build -o $(BIN)/tanagerbench .
	$(BIN)/tanagerbench all
	cd tanager && go test -run NONE -bench BenchmarkTick ./tanagerdispatch

format:
	gofmt -s -w $(MODULES)
