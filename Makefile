# The one entry to everything: each target says what it needs.
#   make setup   installs the packages of packages.txt (Debian 12, apt)
#   make         builds everything into build/
#   make demo    set-up, build, and the Ljubljana demonstration on loopback
#   make test    set-up, build, and all tests through ctest
#   make bench   set-up, build, and the measured runs (build/report/)
#   make lint    formatter and linter, no changes made
#   make soak    random faults against real boxes, with fresh seeds
#   make fuzz    the long random run of the decoders and the pure core
BUILD ?= build
FUZZ_CASES ?= 5000
SOAK_FIRST ?= $(shell date +%s)
SOAK_SEEDS ?= 10
JOBS ?= $(shell nproc)
KNOWN_RED = $(shell bash .ci/known-red)
SOURCES = $(shell git ls-files -- '*.cc' '*.h')

.PHONY: all setup demo test bench lint format fuzz soak clean
all: $(BUILD)/build.ninja
	cmake --build $(BUILD) -j $(JOBS)

$(BUILD)/build.ninja: CMakeLists.txt
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo

setup:
	bash setup.sh

demo: setup
	$(MAKE) all
	$(BUILD)/sparbend-bench --demo --examples examples

test: setup
	$(MAKE) all
	@if [ -s KNOWN-RED.txt ]; then echo "Passed over, known to fail:"; cat KNOWN-RED.txt; fi
	ctest --test-dir $(BUILD) --output-on-failure $(if $(KNOWN_RED),-E '^($(KNOWN_RED))$$')

bench: setup
	$(MAKE) all
	$(BUILD)/sparbend-bench --report $(BUILD)/report $(BENCH_ARGS)

lint: $(BUILD)/build.ninja
	clang-format-19 --dry-run -Werror $(SOURCES)
	bash .ci/tidy $(BUILD)

format:
	clang-format-19 -i $(SOURCES)

fuzz: setup
	$(MAKE) all
	for group in Decoders Messages Claims ConfigFold FlowQueues UsageMeter Fleet; do \
	  RC_PARAMS="max_success=$(FUZZ_CASES)" $(BUILD)/sparbend-tests -sg $$group -v || exit 1; \
	done

# SOAK_FIRST=1 SOAK_SEEDS=50 repeats the seeds 1 to 50.
soak: setup
	$(MAKE) all
	$(BUILD)/sparbend-soak --first $(SOAK_FIRST) --seeds $(SOAK_SEEDS)

clean:
	cmake --build $(BUILD) --target clean
