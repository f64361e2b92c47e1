# Targets that wrap CMake and the scripts in tools/. CI runs `make check`.
BUILD ?= build
FUZZ_BUILD ?= build-fuzz
JOBS ?= 8
FUZZ_SECONDS ?= 60

SEED ?= $(shell date +%s)
SOAK_SECONDS ?= 30
SOAK_NODES ?= 4
SOAK_TARGETS ?= 8

.PHONY: all soak soak-check nodes deps build fuzz-build test fuzz-check fuzz format format-check \
	lint model check demo measure measure-cell failures install clean proto

all: build

deps:
	@tools/deps.sh

build: deps
	@cmake -S . -B $(BUILD) >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

fuzz-build: deps
	@CC=clang cmake -S . -B $(FUZZ_BUILD) -DRATTANSHED_FUZZ=ON >/dev/null
	@cmake --build $(FUZZ_BUILD) -j $(JOBS)

test: build
	@tools/known_red.sh $(BUILD) -LE 'failures|soak|nodes' -j 4

failures: build
	@tools/known_red.sh $(BUILD) -L failures -j 1

# Tests of router nodes as processes.
nodes: build
	@tools/known_red.sh $(BUILD) -L nodes -j 3

# Runs the soak test with SEED, which is the current time by default.
# `make soak SEED=7` repeats the faults of the run with seed 7.
soak: build
	@$(BUILD)/soak/soak $(BUILD)/rattanshed/rattanshed --seed $(SEED) \
		--seconds $(SOAK_SECONDS) --nodes $(SOAK_NODES) \
		--targets $(SOAK_TARGETS) -v

soak-check: build
	@tools/known_red.sh $(BUILD) -L soak -j 2

fuzz-check: fuzz-build
	@cd $(FUZZ_BUILD) && ctest --output-on-failure -L fuzz -j 4

fuzz: fuzz-build
	@tools/fuzz.sh $(FUZZ_BUILD) $(FUZZ_SECONDS)

format:
	@tools/sources.sh | xargs clang-format -i

format-check:
	@tools/sources.sh | xargs clang-format --dry-run -Werror
	@echo "format: clean"

lint: build
	@tools/lint.sh $(BUILD) $(JOBS)

model: deps
	@spec/check.sh

check: format-check build lint test failures nodes soak-check fuzz-check model
	@tools/known_red.sh
	@echo "make check: passed"

demo: build
	@tools/demo.sh $(BUILD)

measure: build
	@tools/measure.sh $(BUILD)

measure-cell: build
	@$(BUILD)/cell/cell_measure

install: build
	@DESTDIR=$(DESTDIR) cmake --install $(BUILD)

proto:
	@tools/proto.sh

clean:
	@rm -rf $(BUILD) $(FUZZ_BUILD)
