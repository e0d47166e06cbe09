GO ?= go
BIN := bin

.PHONY: build run test bench clean

build:
	$(GO) build -o $(BIN)/limehold ./cmd/limehold
	$(GO) build -o $(BIN)/limebench ./cmd/limebench

# A whole deployment on loopback with stand-in back ends, until interrupted.
run: build
	$(BIN)/limebench up --shape arbok

test:
	$(GO) test ./...

clean:
	rm -rf $(BIN)
