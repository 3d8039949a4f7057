# Front door of the build. The work itself is done by CMake and the scripts in scripts/.
BUILD ?= build
SEED ?= 1
STEPS ?= 10000

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

measure: packages $(BUILD)/build.ninja
	@cmake --build $(BUILD) --target bench_policy
	@mkdir -p docs/measurements
	@$(BUILD)/bench/policy/bench_policy --json docs/measurements/policy.json \
	    > docs/measurements/policy.txt
	@cat docs/measurements/policy.txt

clean:
	rm -rf $(BUILD) $(BUILD).configure.log
