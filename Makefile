# Entry points for newcomers and CI. `make JOBS=4 test` limits parallel compiles.
JOBS ?= 8
TEST_JOBS ?= 4
SEEDS ?= 1 2 3
SOAK ?=

.PHONY: deps build test soak demo format format-check lint asan tsan clean

deps:
	scripts/install_deps.sh

build: deps
	cmake --preset release
	cmake --build build/release -j $(JOBS)

test: build
	scripts/run_known_red.sh build/release
	ctest --test-dir build/release --output-on-failure -j $(TEST_JOBS)

soak: build
	scripts/soak.sh build/release build/release/soak "$(SEEDS)" $(SOAK)

demo: build
	scripts/demo.sh build/release

format:
	scripts/list_sources.sh | xargs clang-format -i

format-check:
	scripts/list_sources.sh | xargs clang-format --dry-run --Werror

lint: build
	scripts/check_layers.sh
	scripts/check_types.sh
	scripts/lint.sh build/release $(JOBS)

asan: deps
	cmake --preset asan
	cmake --build build/asan -j $(JOBS)
	ctest --test-dir build/asan --output-on-failure -j $(TEST_JOBS)

tsan: deps
	cmake --preset tsan
	cmake --build build/tsan -j $(JOBS)
	ctest --test-dir build/tsan --output-on-failure -j $(TEST_JOBS)

clean:
	rm -rf build
