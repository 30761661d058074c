# Targets for all development tasks.
GOLANGCI_VERSION := 2.15.0
BIN := $(CURDIR)/bin
LINT := $(BIN)/golangci-lint-$(GOLANGCI_VERSION)

.PHONY: capacity build fmt lint vet test unit example soak demo clean tools

build:
	go build -o $(BIN)/zinnialock .

$(LINT):
	GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v$(GOLANGCI_VERSION)
	mv $(BIN)/golangci-lint $(LINT)

tools: $(LINT)

fmt: $(LINT)
	$(LINT) fmt

lint: $(LINT)
	@out="$$($(LINT) fmt --diff)"; if [ -n "$$out" ]; then echo "$$out"; echo "not formatted: run make fmt"; exit 1; fi
	$(LINT) run ./...

vet:
	go vet ./...

unit:
	contrib/unit.sh

example: build
	$(BIN)/zinnialock check -config zinnialock.example.toml >/dev/null

soak: build
	contrib/soak.sh

test: lint vet unit example soak

demo:
	go run . demo

capacity:
	contrib/capacity.sh

clean:
	rm -rf $(BIN) out
