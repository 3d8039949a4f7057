# Adds the library comfreypass_<name> from all .cpp files of the calling directory.
# The arguments after the name are the libraries that it links.
function(comfreypass_library name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(comfreypass_${name} STATIC ${sources})
    add_library(comfreypass::${name} ALIAS comfreypass_${name})
    set_target_properties(comfreypass_${name} PROPERTIES EXPORT_NAME ${name})
    target_include_directories(comfreypass_${name} PUBLIC
        $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src>
        $<INSTALL_INTERFACE:include/comfreypass>)
    target_link_libraries(comfreypass_${name} PUBLIC ${ARGN})
endfunction()

# Adds the CppUnit program test_<name> from all .cpp files of the calling directory.
# The arguments after the name are the libraries that it links.
function(comfreypass_test name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(test_${name} ${sources} ${PROJECT_SOURCE_DIR}/tests/test_main.cpp)
    target_include_directories(test_${name} PRIVATE ${PROJECT_SOURCE_DIR}/tests)
    target_link_libraries(test_${name} PRIVATE PkgConfig::CPPUNIT ${ARGN})
    add_test(NAME ${name} COMMAND test_${name})
endfunction()
