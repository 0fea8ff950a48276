// Keeps the configuration and the evacuations in force, and passes them on to VMs with older ones.
#pragma once

#include "vm_components.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace yuccaplank::dispatch {

class configuration_exchange {
public:
  explicit configuration_exchange(vm_components &Vm) : Vm(Vm), Evacuations(Vm.Executor.clock()) {}

  /// Applies the configuration unless the current one is as new or newer. Returns whether it was applied.
  bool setConfiguration(configuration Configuration, std::string Document);
  [[nodiscard]] const configuration *current() const { return Current.get(); }
  /// See entry_vm.
  void setEvacuations(const schema::evacuation_state &State);
  [[nodiscard]] const evacuations &evacuated() const { return Evacuations; }

  /// Applies the evacuations in the status of another VM.
  void learnEvacuations(const schema::vm_status &Status) { learn(Status.evacuations()); }
  void onCopy(const schema::configuration_copy &Copy);
  /// Sends the configuration to a VM whose status has an older one, once for each contact.
  void offer(const schema::vm_status &Status);
  void onContactBegan(const std::string &Other) { OfferedVersions.erase(Other); }
  /// Number of runs on the servers of each evacuated failure domain.
  [[nodiscard]] std::map<std::string, std::uint32_t>
  runsInEvacuatedDomains(const std::vector<schema::server_state> &States) const;

private:
  void learn(const google::protobuf::RepeatedPtrField<schema::evacuation_state> &States);

  vm_components &Vm;
  std::unique_ptr<configuration> Current;
  schema::configuration_copy CurrentCopy;
  evacuations Evacuations;
  std::map<std::string, std::uint64_t> OfferedVersions;
};

} // namespace yuccaplank::dispatch
