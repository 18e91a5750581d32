# Builds the one shipped binary, the stand-ins and the tests.
# Sources are found by place: src/<slice>/*.c is the library, src/<slice>/test-*.c one unit test
# program each, testing/unit/*.c what several of those share, src/cli/main.c the binary,
# emulator/<name>/*.c one stand-in program each, testing/harness/*.c the harness,
# testing/process/test-*.c one process test program each, bench/<name>.c one measurement program each.
BUILD ?= build
CC = gcc
PKGS = glib-2.0 liburcu libtirpc jansson libuv
# pkg-config is asked lazily, because `make setup` may have to install it first.
PKG_CFLAGS = $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
PKG_LIBS = $(shell pkg-config --libs $(PKGS) 2>/dev/null)
WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Wno-unused-parameter
SAN ?=
OPT ?= -O2 -g
CFLAGS = -std=gnu11 $(OPT) $(WARN) $(SAN) -D_GNU_SOURCE -include src/base/log-domain.h -I. -Isrc -Itesting -Iinclude -I$(BUILD) $(PKG_CFLAGS)
LIBS = $(SAN) $(PKG_LIBS) -largtable2 -linih -lxxhash -lhttp_parser -lpthread -lm
# The stand-ins speak HTTP by another library than the product, so that no mistake goes unseen on both
# sides.
STANDIN_LIBS = $(shell pkg-config --libs libmicrohttpd 2>/dev/null) $(LIBS)

LIB_SRC := $(filter-out src/cli/main.c $(wildcard src/*/test-*.c platform/test-*.c),$(wildcard src/*/*.c platform/*.c))
LIB_OBJ := $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB := $(BUILD)/libsapphirerun.a
# What operators' own programs link with.
CONFIG_LIB := $(BUILD)/libsapphirerun-config.a
CONFIG_OBJ := $(addprefix $(BUILD)/src/,config/builder.o config/config.o config/sections.o config/references.o settings/ini-reader.o base/findings.o)
UNIT_SRC := $(wildcard src/*/test-*.c platform/test-*.c)
UNIT := $(UNIT_SRC:%.c=$(BUILD)/%)
STANDINS := $(filter-out common,$(notdir $(patsubst %/,%,$(wildcard emulator/*/))))
STANDIN_BIN := $(STANDINS:%=$(BUILD)/standin-%)
HARNESS_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(wildcard testing/harness/*.c))
COMMON_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(wildcard emulator/common/*.c))
PROCESS_SRC := $(wildcard testing/process/test-*.c)
PROCESS := $(PROCESS_SRC:%.c=$(BUILD)/%)
SOAK := $(BUILD)/testing/soak/soak
BENCH_SRC := $(wildcard bench/*.c)
BENCH := $(BENCH_SRC:%.c=$(BUILD)/%)
EXAMPLE_SRC := $(wildcard examples/*.c)
EXAMPLE := $(EXAMPLE_SRC:%.c=$(BUILD)/%)
BIN := $(BUILD)/sapphirerun
ALL_C := $(wildcard platform/*.c platform/*.h src/*/*.c src/*/*.h include/*/*.h testing/*/*.c testing/*/*.h emulator/*/*.c emulator/*/*.h bench/*.c bench/*.h examples/*.c)
HAND_C := $(filter-out %_xdr.c %_xdr.h,$(ALL_C))


.PHONY: soak-regressions all setup demo check check-unit check-process check-asan check-tsan bench soak format format-check tidy cppcheck clean
.SECONDARY:

all: $(BIN) $(STANDIN_BIN) $(UNIT) $(PROCESS) $(SOAK) $(BENCH) $(EXAMPLE)

setup:
	@scripts/setup

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -MP -c $< -o $@

# Generated XDR code is not held to our warnings.
$(BUILD)/%_xdr.o: %_xdr.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -Wno-unused-variable -Wno-error -MMD -MP -c $< -o $@

$(LIB): $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(BIN): $(BUILD)/src/cli/main.o $(LIB)
	$(CC) $^ -o $@ $(LIBS)

$(BUILD)/src/allotment/test-allotment $(BUILD)/src/allotment/test-allotment-schedules $(BUILD)/src/allotment/test-allotment-restores: $(BUILD)/testing/unit/allotment-simulation.o

$(UNIT): $(BUILD)/%: $(BUILD)/%.o $(LIB)
	$(CC) $(filter-out $(LIB),$^) $(LIB) -o $@ $(LIBS) -lcmocka

define STANDIN_RULE
$(BUILD)/standin-$(1): $$(patsubst %.c,$(BUILD)/%.o,$$(wildcard emulator/$(1)/*.c)) $$(patsubst %.c,$(BUILD)/%.o,$$(wildcard emulator/common/*.c)) $(LIB)
	$$(CC) $$^ -o $$@ $$(STANDIN_LIBS)
endef
$(foreach s,$(STANDINS),$(eval $(call STANDIN_RULE,$(s))))

$(PROCESS): $(BUILD)/testing/process/%: $(BUILD)/testing/process/%.o $(HARNESS_OBJ) $(COMMON_OBJ) $(LIB)
	$(CC) $^ -o $@ $(STANDIN_LIBS) -lcmocka

$(SOAK): $(BUILD)/testing/soak/soak.o $(HARNESS_OBJ) $(COMMON_OBJ) $(LIB)
	$(CC) $^ -o $@ $(STANDIN_LIBS)

$(BENCH): $(BUILD)/bench/%: $(BUILD)/bench/%.o $(HARNESS_OBJ) $(COMMON_OBJ) $(LIB)
	$(CC) $^ -o $@ $(STANDIN_LIBS)

$(CONFIG_LIB): $(CONFIG_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(EXAMPLE): $(BUILD)/examples/%: $(BUILD)/examples/%.o $(CONFIG_LIB)
	$(CC) $^ -o $@ $(LIBS)

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

demo: setup
	@$(MAKE) --no-print-directory -s -j8 all
	@BUILD=$(BUILD) scripts/demo

check: setup
	@$(MAKE) --no-print-directory -j8 all
	@BUILD=$(BUILD) scripts/run-tests unit process

check-unit: all
	@BUILD=$(BUILD) scripts/run-tests unit

check-process: all
	@BUILD=$(BUILD) scripts/run-tests process

soak-regressions: all
	@BUILD=$(BUILD) scripts/soak-regressions

# Fresh seeds by hand: make soak SEEDS=50
SEEDS ?= 10
soak: all
	@BUILD=$(BUILD) $(SOAK) --seeds $(SEEDS)

check-asan:
	@$(MAKE) --no-print-directory -s -j8 BUILD=build-asan OPT='-O1 -g' SAN='-fsanitize=address,undefined -fno-sanitize-recover=undefined' unit-programs
	@BUILD=build-asan SUITE=asan scripts/run-tests unit

check-tsan:
	@$(MAKE) --no-print-directory -s -j8 BUILD=build-tsan OPT='-O1 -g' SAN='-fsanitize=thread' unit-programs
	@TSAN_OPTIONS=suppressions=scripts/tsan-suppressions.txt BUILD=build-tsan SUITE=tsan scripts/run-tests unit

.PHONY: unit-programs
unit-programs: $(UNIT)

bench: setup
	@$(MAKE) --no-print-directory -s -j8 all
	@BUILD=$(BUILD) scripts/bench

format:
	clang-format -i $(HAND_C)

format-check:
	clang-format --dry-run --Werror $(HAND_C)

tidy:
	@printf '%s\n' $(filter %.c,$(HAND_C)) | xargs -P 8 -n 2 scripts/tidy $(CFLAGS) --

cppcheck:
	cppcheck --quiet --std=c11 --enable=warning,portability,performance --inline-suppr --error-exitcode=1 --suppress=missingIncludeSystem --suppress=unknownMacro --suppress=normalCheckLevelMaxBranches -Isrc -Iinclude -j 8 $(filter %.c,$(HAND_C))

clean:
	rm -rf build build-asan build-tsan
