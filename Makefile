GO ?= go
BIN := bin

.PHONY: build run test soak bench fuzz clean

build:
	$(GO) build -o $(BIN)/limehold ./cmd/limehold
	$(GO) build -o $(BIN)/limebench ./cmd/limebench

# A whole deployment on loopback with stand-in back ends, until interrupted.
run: build
	$(BIN)/limebench up --shape arbok

test:
	$(GO) test $(TESTFLAGS) ./...

# Real processes under random faults, with fresh seeds; see docs/OPERATIONS.md.
SOAK_SEED ?= $(shell date +%s)
SOAK_RUNS ?= 8
soak:
	$(GO) test ./platform -run TestFaultSoak -count 1 -timeout 30m -soak 15s -soak-seed $(SOAK_SEED) -soak-runs $(SOAK_RUNS) -v

# Times of the cores on this machine.
bench:
	$(GO) test ./fleet ./wal ./membership ./placement ./admission ./router -run XXX -bench .

FUZZ_TIME ?= 30s
fuzz:
	$(GO) test ./wal -run XXX -fuzz FuzzRecover -fuzztime $(FUZZ_TIME)
	$(GO) test ./transport -run XXX -fuzz FuzzReadFrame -fuzztime $(FUZZ_TIME)
	$(GO) test ./settings -run XXX -fuzz FuzzLoad -fuzztime $(FUZZ_TIME)
	$(GO) test ./upstream -run XXX -fuzz FuzzResponseHeader -fuzztime $(FUZZ_TIME)
	$(GO) test ./router -run XXX -fuzz FuzzUnambiguous -fuzztime $(FUZZ_TIME)
	$(GO) test ./router -run XXX -fuzz FuzzUpdate -fuzztime $(FUZZ_TIME)
	$(GO) test ./fleet -run XXX -fuzz FuzzApply -fuzztime $(FUZZ_TIME)
	$(GO) test ./fleet -run XXX -fuzz FuzzAgreement -fuzztime $(FUZZ_TIME)
	$(GO) test ./codec -run XXX -fuzz FuzzCheck -fuzztime $(FUZZ_TIME)
	$(GO) test ./platform -run XXX -fuzz FuzzHeartbeat -fuzztime $(FUZZ_TIME)

clean:
	rm -rf $(BIN)
