GOLANGCI := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
PACKAGES := ./...

DEPLOYMENT ?= instituto

.PHONY: build demo policy capacity torture test race crowd lint format vet generate check

build:
	go build -o bin/ ./papayahead ./papayastand

# demo runs a deployment as separate processes for under a minute, with a planned stop, a crash, a
# draining target and a roll-out, prints what became of every request and fails if a promise broke.
demo:
	cd pascenario && go test -count=1 -run TestDemo -demo $(DEPLOYMENT)

# policy prints the table of docs/MEASURES.md: scenarios of load for both examples, baselines beside.
policy:
	go test -run 'TestPolicyTable|TestPolicyWeighs' -count=1 -v ./papolicy -policy.table

# torture runs a seeded random mix of faults over real processes with all oracles on.
SEED ?= 13
DURATION ?= 60s
torture:
	cd pascenario && go test -count=1 -v -run TestTorture . -seed $(SEED) -duration $(DURATION)

# capacity measures the slopes of docs/CAPACITY.md, in about two minutes.
capacity:
	go test ./pacapacity -count=1 -run TestCapacity -capacity -v

# test is everything CI calls: formatter, linter, vet, the tests with the race detector, and then, apart from them, the tests with crowds.
test: check
	@status=0; $(MAKE) race || status=1; $(MAKE) crowd || status=1; exit $$status

# crowd tests the daemons, as processes, beside clients that do not behave; nothing else should run meanwhile.
crowd:
	go test ./pacrowd -count=1 -timeout 10m -crowd

check: vet
	@unformatted=$$(gofmt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$')); \
	if [ -n "$$unformatted" ]; then echo "not gofmt-clean:"; echo "$$unformatted"; exit 1; fi
	$(GOLANGCI) run $(PACKAGES)

vet:
	go vet $(PACKAGES)

# race starts the packages that take longest first; each package is tested once.
LONGEST := ./platform ./pagate ./papolicy ./pascenario ./paquota
race:
	bash tools/race.sh $(LONGEST) $(PACKAGES)

lint:
	$(GOLANGCI) run $(PACKAGES)

format:
	$(GOLANGCI) fmt $(PACKAGES)

# generate writes pawire's Go code anew from its .proto files; the result is committed.
generate:
	cd pawire && go tool -modfile=../tools/generate/go.mod buf generate
