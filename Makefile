# Entry points of the build, which run CMake and the scripts in scripts/.
BUILD ?= build
SEED ?= 1
STEPS ?= 4000

.PHONY: packages build run check format lint fuzz measure clean

packages:
	@scripts/install-packages.sh

$(BUILD)/build.ninja: CMakeLists.txt
	@cmake -G Ninja -S . -B $(BUILD) > $(BUILD).configure.log 2>&1 || { cat $(BUILD).configure.log; exit 1; }

build: packages $(BUILD)/build.ninja
	@cmake --build $(BUILD)

run: build
	@$(BUILD)/src/app/comfreypass demo

check: build
	@scripts/run-tests.sh $(BUILD)

format:
	@scripts/check-format.sh

lint: build
	@scripts/lint.sh $(BUILD)

# Runs the property-based test of the claims. SEED selects the random sequences, so that a failure can
# be replayed; STEPS is their number.
fuzz: build
	@RC_PARAMS="seed=$(SEED) max_success=$(STEPS) max_size=200" \
	    $(BUILD)/tests/idempotency/test_idempotency

measure: packages $(BUILD)/build.ninja
	@cmake --build $(BUILD) --target bench_policy
	@mkdir -p docs/measurements
	@$(BUILD)/bench/policy/bench_policy --json docs/measurements/policy.json \
	    > docs/measurements/policy.txt
	@cat docs/measurements/policy.txt

clean:
	rm -rf $(BUILD) $(BUILD).configure.log
