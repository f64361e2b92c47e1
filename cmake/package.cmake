# Functions that define the unit tests and fuzz targets of a package.

# rs_test(NAME SOURCES ... LIBS ...): adds a CUnit program that ctest runs in
# the package's source folder.
function(rs_test name)
  cmake_parse_arguments(A "" "" "SOURCES;LIBS" ${ARGN})
  add_executable(${name} ${A_SOURCES})
  target_link_libraries(${name} ${A_LIBS} PkgConfig::CUNIT)
  add_test(NAME ${name} COMMAND ${name}
           WORKING_DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR})
endfunction()

# rs_fuzz(NAME RUNS SOURCES ... LIBS ...): adds a libFuzzer target if
# RATTANSHED_FUZZ is on. SOURCES include those of the code under test, so that
# they are instrumented. ctest runs it with a fixed seed for RUNS inputs;
# `make fuzz` runs it for longer.
function(rs_fuzz name runs)
  if(NOT RATTANSHED_FUZZ)
    return()
  endif()
  cmake_parse_arguments(A "" "" "SOURCES;LIBS" ${ARGN})
  add_executable(${name} ${A_SOURCES})
  target_compile_options(${name} PRIVATE
    -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined -O1)
  target_link_options(${name} PRIVATE -fsanitize=fuzzer,address,undefined)
  target_link_libraries(${name} ${A_LIBS})
  set_property(GLOBAL APPEND PROPERTY RS_FUZZ_TARGETS ${name})
  add_test(NAME ${name}
    COMMAND ${name} -seed=7 -runs=${runs} -max_len=4096 -verbosity=0
            -print_final_stats=1)
  set_tests_properties(${name} PROPERTIES LABELS fuzz)
endfunction()
