# Builds bilberryhook.  `make SAN=1` builds with sanitizers into build-san.

PACKAGES = gcc clang clang-format clang-tidy make pkg-config libc6-dev \
	libuv1-dev libh2o-dev libssl-dev libmsgpack-dev libyaml-dev \
	libargtable2-dev libglib2.0-dev uthash-dev libxxhash-dev libzstd-dev \
	libjansson-dev libhttp-parser-dev libclang-rt-14-dev mandoc gnuplot-nox python3 python3-yaml

CC = gcc
# `make V=1` prints the commands that it runs.
Q = $(if $(V),,@)
B = build
OPT = -O2
SANFLAGS =
ifdef SAN
B = build-san
OPT = -O1
SANFLAGS = -fsanitize=address,undefined -fno-omit-frame-pointer \
	-fno-sanitize-recover=undefined
endif

# `make MUTANT=name` builds without one guard, to show that its test fails
# without it.
MUTANT_FLAGS =
ifdef MUTANT
B = build-mutant-$(MUTANT)
MUTANT_FLAGS = -DBB_MUTANT_$(MUTANT) -Wno-unused-function \
	-Wno-unused-variable -Wno-unused-parameter
endif

WARN = -Wall -Wextra -Werror -Wstrict-prototypes -Wmissing-prototypes -Wshadow
GLIB_CFLAGS := $(shell pkg-config --cflags glib-2.0 2>/dev/null)
CPPFLAGS = -D_GNU_SOURCE -DBB_VERSION='"0.1.0"' -Iinclude $(GLIB_CFLAGS)
CFLAGS = -std=gnu11 -g $(OPT) $(WARN) $(SANFLAGS) $(MUTANT_FLAGS)
LDLIBS = -lh2o -luv -lssl -lcrypto -lmsgpackc -lyaml -largtable2 -lglib-2.0 \
	-lxxhash -lzstd -ljansson -lhttp_parser -lm

LIBDIRS := $(sort $(filter-out libharness/,$(wildcard lib*/)) platform/)
CMDS := $(patsubst cmd/%/,%,$(wildcard cmd/*/))
FAKES := $(filter-out lib,$(patsubst fake/%/,%,$(wildcard fake/*/)))
BENCHES := $(patsubst bench/%.c,%,$(wildcard bench/*.c))
FUZZ := $(patsubst fuzz/%.c,%,$(wildcard fuzz/*.c))
TESTS := $(patsubst test/%.c,%,$(wildcard test/test_*.c))

objects = $(patsubst %.c,$(B)/obj/%.o,$(wildcard $(1)/*.c))
LIB_OBJECTS := $(foreach d,$(LIBDIRS),$(call objects,$(patsubst %/,%,$(d))))
program = $(if $(filter bilberry,$(1)),$(B)/bilberry,$(B)/bilberry-$(1))
PROGRAMS := $(foreach c,$(CMDS),$(call program,$(c))) \
	$(FAKES:%=$(B)/fake-%)
TEST_PROGRAMS := $(TESTS:%=$(B)/test/%)
BENCH_PROGRAMS := $(BENCHES:%=$(B)/bench/%)
HARNESS := $(call objects,test/harness)

all: $(PROGRAMS) $(B)/demo

deps:
	apt-get update -q
	DEBIAN_FRONTEND=noninteractive apt-get install -y -q \
		--no-install-recommends $(PACKAGES)

# Installs the packages unless all are there, so that an installed machine
# needs no network.
need-deps:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || $(MAKE) deps

$(B)/obj/%.o: %.c
	@mkdir -p $(dir $@)
	$(Q)$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$(B)/libbilberry.a: $(LIB_OBJECTS)
	@rm -f $@
	$(Q)ar rcs $@ $^

define PROGRAM_RULE
$$(call program,$(1)): $$(call objects,cmd/$(1)) $$(B)/libbilberry.a
	$(Q)$$(CC) $$(CFLAGS) -o $$@ $$^ $$(LDLIBS)
endef
$(foreach c,$(CMDS),$(eval $(call PROGRAM_RULE,$(c))))

define FAKE_RULE
$$(B)/fake-$(1): $$(call objects,fake/$(1)) $$(call objects,fake/lib) $$(B)/libbilberry.a
	$(Q)$$(CC) $$(CFLAGS) -o $$@ $$^ $$(LDLIBS)
endef
$(foreach f,$(FAKES),$(eval $(call FAKE_RULE,$(f))))

$(B)/test/%: $(B)/obj/test/%.o $(HARNESS) $(B)/libbilberry.a
	@mkdir -p $(dir $@)
	$(Q)$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

$(B)/bench/%: $(B)/obj/bench/%.o $(HARNESS) $(B)/libbilberry.a
	@mkdir -p $(dir $@)
	$(Q)$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

# Fuzz targets and the libraries that they use are compiled by clang, because
# libFuzzer needs its instrumentation.
FUZZ_FLAGS = -std=gnu11 -g -O1 $(WARN) -fsanitize=address,undefined \
	-fno-sanitize-recover=undefined
FUZZ_LIBS := $(patsubst %.c,$(B)/obj-fuzz/%.o,\
	$(wildcard libaudit/*.c libbase/*.c libfleet/*.c libh1/*.c libmember/*.c \
	libproto/*.c libsettings/*.c platform/*.c libnet/header.c))

$(B)/obj-fuzz/%.o: %.c
	@mkdir -p $(dir $@)
	$(Q)clang $(CPPFLAGS) $(FUZZ_FLAGS) -fsanitize=fuzzer-no-link -MMD -MP \
		-c $< -o $@

$(B)/fuzz/%: $(B)/obj-fuzz/fuzz/%.o $(FUZZ_LIBS)
	@mkdir -p $(dir $@)
	$(Q)clang $(FUZZ_FLAGS) -fsanitize=fuzzer -o $@ $^ $(LDLIBS)

$(B)/demo: $(B)/obj/test/demo.o $(HARNESS) $(B)/libbilberry.a
	$(Q)$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

# Runs each fuzz target for FUZZ_S seconds.
FUZZ_S = 20
fuzz: need-deps
	$(MAKE) $(FUZZ:%=$(B)/fuzz/%)
	set -e; for f in $(FUZZ:%=$(B)/fuzz/%); do $$f -seed=1 \
		-max_total_time=$(FUZZ_S) -verbosity=0 -print_final_stats=1; done

# Runs all test programs and fuzz targets; the last line gives the totals.
check: need-deps
	$(MAKE) check-built

check-built: all $(TEST_PROGRAMS) $(FUZZ:%=$(B)/fuzz/%)
	test/check-proof docs/PROOF.md test/mutants.txt $(TEST_PROGRAMS)
	test/run $(B) $(TEST_PROGRAMS)

# Runs the randomised simulation of libonce on further seeds for SECONDS seconds.
SECONDS = 600
soak: need-deps
	$(MAKE) all $(B)/test/test_once_runs
	BILBERRY_SOAK_SECONDS=$(SECONDS) $(B)/test/test_once_runs \
		-p /once-runs/faults

demo: need-deps
	$(MAKE) all
	$(B)/demo

run: need-deps
	$(MAKE) all
	$(B)/demo --keep

bench: need-deps
	$(MAKE) all $(BENCH_PROGRAMS)
	bench/run $(B)

SOURCES := $(shell git ls-files '*.c' '*.h' 2>/dev/null)
TIDY_SOURCES := $(filter-out libproto/messages.c,$(filter %.c,$(SOURCES)))
TIDY_FLAGS = -D_GNU_SOURCE -Iinclude $(GLIB_CFLAGS)

lint: need-deps
	clang-format --dry-run -Werror $(SOURCES)
	$(MAKE) generated-check
	mandoc -Tlint -Wwarning man/*.[1-9]
	printf '%s\n' $(TIDY_SOURCES) | xargs -P 8 -n 4 sh -c \
		'clang-tidy --quiet "$$@" -- -std=gnu11 $(TIDY_FLAGS) 2>/dev/null' tidy

# Mutation test: each line of test/mutants.txt names a guard and the test that
# must fail without it; see docs/PROOF.md.
proof: need-deps
	test/proof test/mutants.txt

# Checks that the generated code in the repository matches the schema.
generated-check:
	rm -rf $(B)/generated
	schema/generate $(B)/generated
	cd $(B)/generated && find . -type f | while read -r f; do \
		cmp "$$f" "$(CURDIR)/$$f" || exit 1; done

generate:
	schema/generate .

# Generates the seed inputs of the fuzz targets again, after a change of the
# schema.
seeds:
	rm -rf fuzz/seeds/fuzz_member fuzz/seeds/fuzz_message fuzz/seeds/fuzz_settings
	fuzz/corpus fuzz/seeds

clean:
	rm -rf build build-*

.PHONY: all deps need-deps check check-built soak fuzz demo run \
	bench lint proof generate generated-check seeds clean
.SECONDARY:

-include $(shell find $(B)/obj $(B)/obj-fuzz -name '*.d' 2>/dev/null)
