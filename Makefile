SHELL := /bin/bash
TOOLS := .bin/gofumpt .bin/staticcheck .bin/protogen
# Newer versions of gopls need a newer version of Go.
GOPLS_VERSION := v0.21.1
GO_FILES = $(shell git ls-files '*.go' | grep -v '\.pb\.go$$')
MODULES = $(shell sed -n 's/^\t\.\/\(.*\)$$/\1/p' go.work)

.PHONY: build test demo soak check format generate tidy tools gopls

build: ## builds the programs into .bin
	mkdir -p .bin
	go build -o .bin/ ./apps/...

test: ## runs all tests with the race detector
	scripts/test.sh

demo: build ## runs jobs end to end through separate processes
	scripts/demo.sh

soak: ## injects random faults into real processes; SOAK_SEED, SOAK_SEEDS and SOAK_SECONDS choose the runs
	cd integration/deployment && go test -race -count=1 -timeout 2h . -ginkgo.focus soak -ginkgo.v

check: tools ## runs the formatter and the linters
	@unformatted=$$(.bin/gofumpt -l $(GO_FILES)); if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	go vet work
	.bin/staticcheck $(addsuffix /...,$(addprefix ./,$(MODULES)))

format: tools
	.bin/gofumpt -w $(GO_FILES)

generate: tools ## regenerates the protobuf code
	set -e; for f in $$(git ls-files '*.proto'); do .bin/protogen $$f; done

tidy:
	set -e; for m in $(MODULES); do (cd $$m && GOWORK=off go mod tidy); done

tools: $(TOOLS)

$(TOOLS): tools/go.mod tools/protogen/main.go
	mkdir -p .bin
	cd tools && GOWORK=off go build -o ../.bin/ ./protogen honnef.co/go/tools/cmd/staticcheck mvdan.cc/gofumpt
	touch $(TOOLS)

gopls: .bin/gopls ## installs gopls, used to rename identifiers

.bin/gopls:
	mkdir -p .bin
	GOBIN=$(CURDIR)/.bin go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
